#include "proxy/PeerServer.h"

#include "base/Error.h"
#include "base/Log.h"

namespace skylark {

class PeerServer::Session final : public std::enable_shared_from_this<Session> {
public:
    Session(PeerServer& server, std::unique_ptr<TcpStream> stream)
        : m_server(server)
        , m_assembler(server.m_options.mostBodyBytes)
        , m_channel(std::make_unique<FrameChannel>(server.m_loop, std::move(stream),
              FrameChannel::Callbacks { .onMessage = [this](Message message) { handle(std::move(message)); },
                  .onEnd = [this](StreamEnd) { end(); } }))
    {
    }

    void announceLeaving()
    {
        if (m_channel && m_isGreeted)
            m_channel->send(Leaving {
                .instance = m_server.m_options.self.instance, .incarnation = m_server.m_options.self.incarnation });
    }

private:
    // A call whose body is not whole yet.
    struct Arriving {
        CallStart start;
        TimePoint receivedAt;
        std::string body;
    };

    void handle(Message message)
    {
        const auto self = shared_from_this();
        std::visit([this](auto&& each) { on(std::forward<decltype(each)>(each)); }, std::move(message));
    }

    void on(const Hello& hello)
    {
        m_peer = hello;
        m_isGreeted = true;
        m_channel->send(m_server.m_options.self);
        if (m_server.m_isLeaving)
            announceLeaving();
        m_server.m_callbacks.onPeer(hello);
    }

    void on(const Ping& ping) { m_channel->send(Pong { .nonce = ping.nonce }); }

    void on(CallStart start)
    {
        if (!m_isGreeted)
            throw Error({ .step = "peer-call", .message = "a call came before Hello" });
        const StreamId stream = start.stream;
        const bool hasBody = start.hasBody;
        Arriving& arriving = m_arriving[stream];
        arriving = { .start = std::move(start), .receivedAt = m_server.m_loop.now() };
        if (!hasBody)
            submit(stream);
    }

    void on(const BodyChunk& chunk)
    {
        const StreamId stream = chunk.stream;
        const auto found = m_arriving.find(stream);
        if (found != m_arriving.end() && m_assembler.add(found->second.body, chunk))
            submit(stream);
    }

    void on(const Cancel& cancel)
    {
        m_arriving.erase(cancel.stream);
        m_server.m_gate.cancel({ .sender = m_peer.incarnation, .stream = cancel.stream });
    }

    void on(const HeldSourceRequest& request)
    {
        m_server.m_callbacks.onHeldSourceRequest(request, [weak = weak_from_this()](const HeldSource& held) {
            if (const auto session = weak.lock(); session && session->m_channel)
                session->m_channel->send(held);
        });
    }

    template <typename Other> void on(const Other&) { }

    void submit(StreamId stream)
    {
        auto node = m_arriving.extract(stream);
        Arriving& arriving = node.mapped();
        CallStart& start = arriving.start;
        const auto onReply = [weak = weak_from_this(), stream](const GateReplyPtr& reply) {
            if (const auto session = weak.lock(); session && session->m_channel)
                session->send(stream, *reply);
        };
        if (start.gateIncarnation != m_server.m_options.self.incarnation) {
            onReply(makeRefusal(CallOutcome::NotRun, "peer-call", "meant for an earlier process of this node"));
            return;
        }
        auto request = std::make_shared<HttpRequest>();
        request->method = std::move(start.method);
        request->target = std::move(start.target);
        request->headers = toHttpHeaders(start.headers);
        request->body = std::move(arriving.body);
        m_server.m_gate.submit({ .key = { .sender = m_peer.incarnation, .stream = stream },
                                   .requestId = std::move(start.requestId),
                                   .service = std::move(start.service),
                                   .request = std::move(request),
                                   .rank = static_cast<int>(start.rank),
                                   .deadline = arriving.receivedAt + start.remainingDeadline,
                                   .onTimeBy = arriving.receivedAt + start.remainingTarget,
                                   .isIdempotent = start.isIdempotent,
                                   .isResend = start.isResend,
                                   .attempt = start.attempt },
            onReply);
    }

    void send(StreamId stream, const GateReply& reply)
    {
        if (const auto* answer = std::get_if<GateAnswer>(&reply)) {
            m_channel->sendWithBody(AnswerStart { .stream = stream,
                                        .status = static_cast<uint32_t>(answer->response.status),
                                        .headers = toHeaderList(answer->response.headers),
                                        .hasBody = !answer->response.body.empty(),
                                        .load = answer->load,
                                        .endsWithClose = answer->response.endsWithClose },
                stream, answer->response.body);
            return;
        }
        const auto& refusal = std::get<GateRefusal>(reply);
        m_channel->send(Refusal { .stream = stream,
            .outcome = refusal.outcome,
            .step = refusal.step,
            .reason = refusal.reason,
            .load = refusal.load });
    }

    void end()
    {
        const auto self = shared_from_this();
        m_channel.reset();
        m_server.m_sessions.erase(self);
    }

    PeerServer& m_server;
    const BodyAssembler m_assembler;
    Hello m_peer;
    bool m_isGreeted { false };
    absl::flat_hash_map<StreamId, Arriving> m_arriving;
    std::unique_ptr<FrameChannel> m_channel;
};

PeerServer::PeerServer(EventLoop& loop, PeerServerOptions options, BackendGate& gate, Callbacks callbacks)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_gate(gate)
    , m_callbacks(std::move(callbacks))
    , m_listener(loop, m_options.listenAddress, [this](std::unique_ptr<TcpStream> stream) {
        m_sessions.insert(std::make_shared<Session>(*this, std::move(stream)));
    })
{
}

PeerServer::~PeerServer() = default;

void PeerServer::announceLeaving()
{
    m_isLeaving = true;
    for (const auto& session : m_sessions)
        session->announceLeaving();
}

} // namespace skylark
