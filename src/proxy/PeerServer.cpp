#include "proxy/PeerServer.h"

#include "base/Error.h"
#include "base/Log.h"

#include <algorithm>

namespace skylark {

namespace {

    std::optional<double> serverRate(const CallStart& start)
    {
        return start.knowsServerRate ? std::optional(static_cast<double>(start.serverRateThousandths) / 1000)
                                     : std::nullopt;
    }

} // namespace

class PeerServer::Session final : public std::enable_shared_from_this<Session> {
public:
    Session(PeerServer& server, std::unique_ptr<TcpStream> stream)
        : m_server(server)
        , m_assembler(server.m_options.maxBodyBytes)
        , m_channel(std::make_unique<FrameChannel>(server.m_loop, std::move(stream),
              FrameChannel::Callbacks { .onMessage = [this](Message message) { handle(std::move(message)); },
                  .onEnd = [this](StreamEnd) { end(); } },
              server.m_options.channel))
    {
    }

    void announceLeaving()
    {
        if (m_channel && m_hasReceivedHello)
            m_channel->send(Leaving {
                .instance = m_server.m_options.self.instance, .incarnation = m_server.m_options.self.incarnation });
    }

    bool isIdleSince(TimePoint time) const { return m_channel && m_channel->lastReceived() <= time; }
    void close() { m_channel.reset(); }
    const std::string& peerName() const { return m_peer.instance.value(); }

    size_t unsentBytes() const { return m_channel ? m_channel->pendingBytes() : 0; }

private:
    // A call whose body is still being received.
    struct PartialCall {
        CallStart start;
        TimePoint receivedAt;
        std::string body;
        MemoryCharge charge;
    };

    void handle(Message message)
    {
        const auto self = shared_from_this();
        std::visit([this](auto&& typedMessage) { on(std::forward<decltype(typedMessage)>(typedMessage)); },
            std::move(message));
    }

    void on(const Hello& hello)
    {
        m_peer = hello;
        m_hasReceivedHello = true;
        m_channel->send(m_server.m_options.self);
        if (m_server.m_isLeaving)
            announceLeaving();
        m_server.m_callbacks.onHello(hello);
    }

    void on(const Ping& ping) { m_channel->send(Pong { .nonce = ping.nonce }); }

    void on(CallStart start)
    {
        if (!m_hasReceivedHello)
            throw Error({ .step = "peer-call", .message = "the peer sent a call before Hello" });
        const StreamId stream = start.stream;
        const bool hasBody = start.hasBody;
        PartialCall& partialCall = m_partialCalls[stream];
        partialCall = { .start = std::move(start),
            .receivedAt = m_server.m_loop.now(),
            .charge = MemoryCharge(m_server.m_options.memory) };
        if (!hasBody)
            submit(stream);
    }

    void on(const BodyChunk& chunk)
    {
        const StreamId stream = chunk.stream;
        const auto found = m_partialCalls.find(stream);
        if (found == m_partialCalls.end())
            return;
        PartialCall& call = found->second;
        // The string doubles its capacity when it grows, and both buffers exist while it is copied.
        const size_t needed = call.body.size() + chunk.data.size();
        const size_t capacity = call.body.capacity();
        const size_t grown = std::max(needed, 2 * capacity);
        if (needed > capacity && !(call.charge.resize(grown + capacity) && call.charge.resize(grown))) {
            const uint32_t rank = call.start.rank;
            // A resent call may run already.
            const CallOutcome outcome = call.start.isResend ? CallOutcome::Unknown : CallOutcome::NotRun;
            m_partialCalls.erase(found);
            m_server.m_options.memory->countRefused();
            send(stream, rank, makeRefusal(outcome, "peer-call", "the memory for the body is in use"));
            return;
        }
        if (m_assembler.add(call.body, chunk))
            submit(stream);
    }

    void on(const Cancel& cancel)
    {
        m_partialCalls.erase(cancel.stream);
        m_channel->cancelBody(cancel.stream);
        m_server.m_gate.cancel({ .sender = m_peer.incarnation, .stream = cancel.stream });
    }

    void on(const SourceUpdateRequest& request)
    {
        m_server.m_callbacks.onSourceUpdateRequest(request, [weak = weak_from_this()](const SourceUpdate& update) {
            if (const auto session = weak.lock(); session && session->m_channel)
                session->m_channel->send(update);
        });
    }

    template <typename Other> void on(const Other&) { }

    void submit(StreamId stream)
    {
        auto node = m_partialCalls.extract(stream);
        PartialCall& partialCall = node.mapped();
        CallStart& start = partialCall.start;
        const auto onReply = [weak = weak_from_this(), stream, rank = start.rank](const GateReplyPtr& reply) {
            if (const auto session = weak.lock(); session && session->m_channel)
                session->send(stream, rank, reply);
        };
        if (start.gateIncarnation != m_server.m_options.self.incarnation) {
            onReply(makeRefusal(CallOutcome::NotRun, "peer-call", "meant for an earlier process of this node"));
            return;
        }
        auto request = std::make_shared<HttpRequest>();
        request->method = std::move(start.method);
        request->target = std::move(start.target);
        request->headers = toHttpHeaders(start.headers);
        request->body = std::move(partialCall.body);
        request->allocation = std::make_shared<MemoryCharge>(std::move(partialCall.charge));
        m_server.m_gate.submit({ .key = { .sender = m_peer.incarnation, .stream = stream },
                                   .requestId = std::move(start.requestId),
                                   .service = std::move(start.service),
                                   .request = std::move(request),
                                   .rank = static_cast<int>(start.rank),
                                   .deadline = partialCall.receivedAt + start.remainingDeadline,
                                   .onTimeBy = partialCall.receivedAt + start.remainingLatencyTarget,
                                   .isIdempotent = start.isIdempotent,
                                   .isResend = start.isResend,
                                   .attempt = start.attempt,
                                   .knownServerRate = serverRate(start),
                                   .serverIncarnation = start.serverIncarnation,
                                   .route = std::move(start.route),
                                   .isFromPeer = true },
            onReply);
    }

    void send(StreamId stream, uint32_t rank, const GateReplyPtr& reply)
    {
        if (const auto* gateResponse = std::get_if<GateResponse>(reply.get())) {
            const bool isSent
                = m_channel->sendWithBody(AnswerStart { .stream = stream,
                                              .status = static_cast<uint32_t>(gateResponse->response.status),
                                              .headers = toHeaderList(gateResponse->response.headers),
                                              .hasBody = !gateResponse->response.body.empty(),
                                              .load = gateResponse->load,
                                              .endsWithClose = gateResponse->response.endsWithClose,
                                              .serviceTime = gateResponse->serviceTime },
                    stream, rank, SharedBody(reply, &gateResponse->response.body));
            if (!isSent)
                send(stream, rank,
                    makeRefusal(CallOutcome::Unknown, "peer-call",
                        "the response exceeds the bounds of a message between nodes", gateResponse->load));
            return;
        }
        const auto& refusal = std::get<GateRefusal>(*reply);
        m_channel->send(Refusal { .stream = stream,
            .outcome = refusal.outcome,
            .step = refusal.step,
            .reason = refusal.reason,
            .load = refusal.load });
    }

    void end()
    {
        const auto self = shared_from_this();
        close();
        m_server.m_sessions.erase(self);
    }

    PeerServer& m_server;
    const BodyAssembler m_assembler;
    Hello m_peer;
    bool m_hasReceivedHello { false };
    absl::flat_hash_map<StreamId, PartialCall> m_partialCalls;
    std::unique_ptr<FrameChannel> m_channel;
};

PeerServer::PeerServer(EventLoop& loop, PeerServerOptions options, BackendGate& gate, Callbacks callbacks)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_gate(gate)
    , m_callbacks(std::move(callbacks))
    , m_listener(loop, m_options.listenAddress,
          [this](std::unique_ptr<TcpStream> stream) {
              m_sessions.insert(std::make_shared<Session>(*this, std::move(stream)));
          })
    , m_idleTimer(loop, [this] { closeIdleSessions(); })
{
    constexpr int checksPerTimeout = 4;
    m_idleTimer.startRepeating(m_options.idleTimeout / checksPerTimeout);
}

PeerServer::~PeerServer() = default;

void PeerServer::announceLeaving()
{
    m_isLeaving = true;
    for (const auto& session : m_sessions)
        session->announceLeaving();
}

void PeerServer::closeIdleSessions()
{
    const TimePoint idleSince = m_loop.now() - m_options.idleTimeout;
    absl::erase_if(m_sessions, [idleSince](const std::shared_ptr<Session>& session) {
        if (!session->isIdleSince(idleSince))
            return false;
        logEvent(LogLevel::Info, "idle-peer-connection-closed", { { "peer", session->peerName() } });
        session->close();
        return true;
    });
}

size_t PeerServer::unsentBytes() const
{
    size_t bytes = 0;
    for (const auto& session : m_sessions)
        bytes += session->unsentBytes();
    return bytes;
}

} // namespace skylark
