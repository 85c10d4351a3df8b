#include "proxy/PeerClient.h"

#include "base/Error.h"
#include "base/Log.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr const char* step = "peer-connection";
    constexpr Duration silenceCheckInterval = std::chrono::milliseconds(50);
    constexpr const char* notEncodableReason = "the request exceeds the bounds of a message between nodes";

    uint64_t toThousandths(double rate)
    {
        constexpr double maxRate = 1e9;
        return static_cast<uint64_t>(std::min(rate, maxRate) * 1000);
    }

    // The peer checks its server's responses too; this guards the callers against a peer of another release.
    bool isValidHead(const AnswerStart& head)
    {
        constexpr uint32_t firstFinalStatus = 200;
        constexpr uint32_t endOfStatuses = 600;
        return head.status >= firstFinalStatus && head.status < endOfStatuses
            && std::all_of(head.headers.begin(), head.headers.end(),
                [](const auto& header) { return isFieldName(header.first) && isFieldValue(header.second); });
    }

} // namespace

PeerClient::PeerClient(
    EventLoop& loop, Endpoint peer, Hello self, PeerClientOptions options, SourceUpdateCallback onSourceUpdate)
    : m_loop(loop)
    , m_peer(std::move(peer))
    , m_self(std::move(self))
    , m_options(options)
    , m_onSourceUpdate(std::move(onSourceUpdate))
    , m_assembler(options.maxBodyBytes)
    , m_random(m_self.incarnation.value() ^ std::hash<std::string>()(m_peer.toString()))
    , m_backoff(options.reconnect)
    , m_silenceTimer(loop, [this] { checkSilence(); })
    , m_reconnectTimer(loop, [this] { open(); })
{
}

PeerClient::~PeerClient() = default;

bool PeerClient::isUsable() const
{
    if (m_isUnreachable || m_isLeaving)
        return false;
    return !m_pingSentAt || m_loop.now() - *m_pingSentAt < m_options.suspectAfter;
}

const char* PeerClient::stateName() const
{
    if (m_isLeaving)
        return "leaving";
    if (m_isUnreachable)
        return "unreachable";
    if (m_hasReceivedHello)
        return isUsable() ? "connected" : "suspect";
    return m_channel ? "connecting" : "not connected";
}

void PeerClient::connect()
{
    if (!m_channel && !m_reconnectTimer.isActive())
        open();
}

void PeerClient::open()
{
    m_hasReceivedHello = false;
    m_openedAt = m_loop.now();
    try {
        m_channel = std::make_unique<FrameChannel>(m_loop, m_peer,
            ConnectOptions { .connectTimeout = m_options.connectTimeout },
            FrameChannel::Callbacks { .onConnected = [this] { m_channel->send(m_self); },
                .onMessage = [this](Message message) { handle(std::move(message)); },
                .onEnd = [this](StreamEnd end) { handleEnd(end); } },
            m_options.channel);
    } catch (const Error& error) {
        logEvent(
            LogLevel::Warning, "peer-connect-failed", { { "peer", m_peer.toString() }, { "reason", error.message() } });
        handleEnd(StreamEnd::NotConnected);
        return;
    }
    startSilenceChecks();
}

void PeerClient::startSilenceChecks()
{
    if (!m_silenceTimer.isActive())
        m_silenceTimer.startRepeating(silenceCheckInterval);
}

void PeerClient::submit(GateCall call, ReplyCallback onReply)
{
    if (m_isUnreachable) {
        onReply(makeRefusal(CallOutcome::NotRun, step, "the peer cannot be reached"));
        return;
    }
    if (m_channel && m_hasReceivedHello && m_channel->pendingBytes() > m_options.maxPendingBytes) {
        onReply(makeRefusal(CallOutcome::NotRun, step, "too many bytes wait for the peer"));
        return;
    }
    const StreamId stream = call.key.stream;
    Outstanding& outstanding
        = m_calls.emplace(stream, Outstanding { .call = std::move(call), .onReply = std::move(onReply) }).first->second;
    if (!m_channel)
        open();
    else if (m_hasReceivedHello && !write(outstanding))
        reply(stream, makeRefusal(CallOutcome::NotRun, step, notEncodableReason));
    if (m_channel)
        startSilenceChecks();
}

bool PeerClient::write(Outstanding& outstanding)
{
    const GateCall& call = outstanding.call;
    const HttpRequest& request = *call.request;
    const bool isResend = outstanding.sentTo != Incarnation();
    const bool isSent
        = m_channel->sendWithBody(CallStart { .stream = call.key.stream,
                                      .requestId = call.requestId,
                                      .gateIncarnation = m_peerIncarnation,
                                      .service = call.service,
                                      .method = request.method,
                                      .target = request.target,
                                      .headers = toHeaderList(request.headers),
                                      .rank = static_cast<uint32_t>(std::max(0, call.rank)),
                                      .remainingDeadline = std::max(Duration(0), call.deadline - m_loop.now()),
                                      .isIdempotent = call.isIdempotent,
                                      .isResend = isResend,
                                      .attempt = call.attempt,
                                      .hasBody = !request.body.empty(),
                                      .remainingLatencyTarget = std::max(Duration(0), call.onTimeBy - m_loop.now()),
                                      .serverIncarnation = call.serverIncarnation,
                                      .knowsServerRate = call.knownServerRate.has_value(),
                                      .serverRateThousandths = toThousandths(call.knownServerRate.value_or(0)),
                                      .route = call.route },
            call.key.stream, static_cast<uint32_t>(std::max(0, call.rank)), SharedBody(call.request, &request.body));
    if (isSent)
        outstanding.sentTo = m_peerIncarnation;
    return isSent;
}

void PeerClient::cancel(StreamId stream)
{
    const auto found = m_calls.find(stream);
    if (found == m_calls.end())
        return;
    if (found->second.sentTo != Incarnation()) {
        recordCancel(stream);
        if (m_hasReceivedHello) {
            m_channel->cancelBody(stream);
            m_channel->send(Cancel { .stream = stream });
        } else
            logEvent(LogLevel::Info, "cancel-deferred",
                { { "peer", m_peer.toString() }, { "id", found->second.call.requestId.value() } });
    }
    m_calls.erase(found);
}

void PeerClient::recordCancel(StreamId stream)
{
    removeOldCancels();
    if (m_cancels.size() >= m_options.maxCancels)
        m_cancels.pop_front();
    m_cancels.push_back({ .stream = stream, .cancelledAt = m_loop.now() });
}

void PeerClient::removeOldCancels()
{
    const TimePoint oldest = m_loop.now() - m_options.cancelRetention;
    while (!m_cancels.empty() && m_cancels.front().cancelledAt < oldest)
        m_cancels.pop_front();
}

bool PeerClient::requestSourceUpdate(const SourceUpdateRequest& request)
{
    if (!m_hasReceivedHello) {
        connect();
        return false;
    }
    m_updateRequest = request;
    m_channel->send(request);
    startSilenceChecks();
    return true;
}

void PeerClient::handle(Message message)
{
    std::visit(
        [this](auto&& typedMessage) { on(std::forward<decltype(typedMessage)>(typedMessage)); }, std::move(message));
}

void PeerClient::on(const Hello& hello)
{
    const bool isNewProcess = m_peerIncarnation != hello.incarnation;
    m_peerIncarnation = hello.incarnation;
    m_hasReceivedHello = true;
    m_isLeaving = m_isLeaving && !isNewProcess;
    if (m_isUnreachable || isNewProcess)
        logEvent(LogLevel::Info, "peer-connected",
            { { "peer", m_peer.toString() }, { "incarnation", std::to_string(m_peerIncarnation.value()) },
                { "outstanding", std::to_string(m_calls.size()) } });
    m_isUnreachable = false;
    m_pingSentAt.reset();
    m_backoff.reset();
    if (isNewProcess)
        m_cancels.clear();
    removeOldCancels();
    for (const SentCancel& cancel : m_cancels)
        m_channel->send(Cancel { .stream = cancel.stream });
    if (m_updateRequest)
        m_channel->send(*m_updateRequest);
    std::vector<StreamId> lostStreams;
    std::vector<StreamId> refusedStreams;
    for (auto& [stream, outstanding] : m_calls) {
        outstanding.head.reset();
        outstanding.body.clear();
        if (outstanding.sentTo != Incarnation() && outstanding.sentTo != m_peerIncarnation)
            lostStreams.push_back(stream);
        else if (!write(outstanding))
            refusedStreams.push_back(stream);
    }
    for (const StreamId stream : lostStreams)
        reply(stream, makeRefusal(CallOutcome::Unknown, step, "the peer's process was replaced"));
    for (const StreamId stream : refusedStreams)
        reply(stream, makeRefusal(CallOutcome::NotRun, step, notEncodableReason));
}

void PeerClient::on(const Pong&) { m_pingSentAt.reset(); }

void PeerClient::on(AnswerStart response)
{
    const auto found = m_calls.find(response.stream);
    if (found == m_calls.end())
        return;
    const StreamId stream = response.stream;
    if (!isValidHead(response)) {
        reply(stream, makeRefusal(CallOutcome::Unknown, serverStep, "the response has an invalid head"));
        return;
    }
    const bool hasBody = response.hasBody;
    found->second.head = std::move(response);
    found->second.body.clear();
    if (!hasBody)
        completeResponse(stream, found->second);
}

void PeerClient::on(const BodyChunk& chunk)
{
    const auto found = m_calls.find(chunk.stream);
    if (found == m_calls.end() || !found->second.head)
        return;
    const StreamId stream = chunk.stream;
    if (m_assembler.add(found->second.body, chunk))
        completeResponse(stream, found->second);
}

void PeerClient::completeResponse(StreamId stream, Outstanding& outstanding)
{
    AnswerStart& head = *outstanding.head;
    auto response
        = std::make_shared<const GateReply>(GateResponse { .response = { .status = static_cast<int>(head.status),
                                                               .headers = toHttpHeaders(head.headers),
                                                               .body = std::move(outstanding.body),
                                                               .endsWithClose = head.endsWithClose },
            .load = serverLoad(head.load),
            .serviceTime = head.serviceTime });
    reply(stream, response);
}

LoadHint PeerClient::serverLoad(LoadHint hint) const
{
    // Earlier releases set isLeaving also while only the peer's process stops, which Leaving has announced. The server
    // may live on, and its next node says again if it leaves.
    hint.isLeaving = hint.isLeaving && !m_isLeaving;
    return hint;
}

void PeerClient::on(Refusal refusal)
{
    reply(refusal.stream,
        makeRefusal(refusal.outcome, std::move(refusal.step), std::move(refusal.reason), serverLoad(refusal.load)));
}

void PeerClient::on(const Leaving&)
{
    if (std::exchange(m_isLeaving, true))
        return;
    logEvent(LogLevel::Info, "peer-leaving", { { "peer", m_peer.toString() } });
}

void PeerClient::on(const SourceUpdate& update)
{
    m_updateRequest.reset();
    m_onSourceUpdate(update);
}

void PeerClient::reply(StreamId stream, const GateReplyPtr& reply)
{
    const auto found = m_calls.find(stream);
    if (found == m_calls.end())
        return;
    // The rest of the request is not needed if the peer has refused the call already.
    if (m_channel)
        m_channel->cancelBody(stream);
    const ReplyCallback onReply = std::move(found->second.onReply);
    m_calls.erase(found);
    onReply(reply);
}

void PeerClient::handleEnd(StreamEnd end)
{
    const bool hadReceivedHello = m_hasReceivedHello;
    m_hasReceivedHello = false;
    m_channel.reset();
    m_silenceTimer.stop();
    m_pingSentAt.reset();
    removeOldCancels();
    if (hadReceivedHello && (expectsData() || !m_cancels.empty())) {
        logEvent(LogLevel::Info, "peer-connection-lost",
            { { "peer", m_peer.toString() }, { "outstanding", std::to_string(m_calls.size()) },
                { "update_requested", m_updateRequest ? "true" : "false" },
                { "end", end == StreamEnd::Closed ? "closed" : "failed" } });
        open();
        return;
    }
    if (hadReceivedHello && end == StreamEnd::Closed && !m_isLeaving)
        return;
    if (!std::exchange(m_isUnreachable, true))
        logEvent(LogLevel::Warning, "peer-unreachable",
            { { "peer", m_peer.toString() }, { "outstanding", std::to_string(m_calls.size()) } });
    failAll("the peer cannot be reached");
    scheduleReconnect();
}

void PeerClient::failAll(const std::string& reason)
{
    std::map<StreamId, Outstanding> calls;
    calls.swap(m_calls);
    for (auto& [stream, outstanding] : calls) {
        const bool isSent = outstanding.sentTo != Incarnation();
        outstanding.onReply(makeRefusal(isSent ? CallOutcome::Unknown : CallOutcome::NotRun, step, reason));
    }
}

void PeerClient::scheduleReconnect() { m_reconnectTimer.start(m_backoff.next(m_random)); }

void PeerClient::checkSilence()
{
    const TimePoint now = m_loop.now();
    if (!m_channel) {
        m_silenceTimer.stop();
        return;
    }
    if (!m_hasReceivedHello) {
        // The kernel accepts connections for a frozen process, which then never sends Hello.
        if (now - m_openedAt > m_options.connectTimeout + m_options.pongTimeout)
            handleEnd(StreamEnd::NotConnected);
        return;
    }
    if (m_pingSentAt && m_channel->lastReceived() > *m_pingSentAt)
        m_pingSentAt.reset();
    if (m_pingSentAt) {
        if (now - *m_pingSentAt > m_options.pongTimeout) {
            logEvent(LogLevel::Warning, "peer-silent",
                { { "peer", m_peer.toString() }, { "outstanding", std::to_string(m_calls.size()) },
                    { "update_requested", m_updateRequest ? "true" : "false" } });
            handleEnd(StreamEnd::Failed);
        }
        return;
    }
    if (!expectsData()) {
        m_silenceTimer.stop();
        return;
    }
    const Duration pingAfter = m_calls.empty() ? m_options.updatePingAfter : m_options.pingAfter;
    if (now - m_channel->lastReceived() > pingAfter) {
        m_channel->send(Ping { .nonce = ++m_pingNonce });
        m_pingSentAt = now;
    }
}

} // namespace skylark
