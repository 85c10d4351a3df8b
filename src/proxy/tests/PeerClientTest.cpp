// Tests PeerClient against a fake peer: lost connections, restarts and silence.
#include "proxy/PeerClient.h"

#include <gtest/gtest.h>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    // Records calls and sends a response only when answer() is called. Answers Hello and pings unless isSilent is set.
    class FakePeer {
    public:
        explicit FakePeer(EventLoop& loop)
            : m_loop(loop)
            , m_listener(
                  loop, { "127.0.0.1", 0 }, [this](std::unique_ptr<TcpStream> stream) { accept(std::move(stream)); })
        {
        }
        Endpoint address() const { return { "127.0.0.1", m_listener.port() }; }
        void answer(StreamId stream) { m_channel->send(AnswerStart { .stream = stream, .status = 200 }); }
        void refuse(StreamId stream, LoadHint load) { m_channel->send(Refusal { .stream = stream, .load = load }); }
        void announceLeaving() { m_channel->send(Leaving { .incarnation = incarnation }); }
        void answer(StreamId stream, uint32_t status, HeaderList headers)
        {
            m_channel->send(AnswerStart { .stream = stream, .status = status, .headers = std::move(headers) });
        }
        void answerUpdateRequest() { m_channel->send(SourceUpdate { .version = VersionNumber(7) }); }
        void dropConnection() { m_channel.reset(); }
        // The open connection delivers nothing from now on and stays open; new ones work.
        void silenceConnection() { m_silentChannels.push_back(std::move(m_channel)); }

        Incarnation incarnation { 1 };
        // Receives but never answers, like a frozen process.
        bool isSilent { false };
        std::vector<CallStart> calls;
        std::vector<StreamId> cancelledStreams;
        std::vector<SourceUpdateRequest> updateRequests;
        size_t pingCount { 0 };
        size_t connectionCount() const { return m_acceptedCount; }
        // Complete request bodies.
        std::map<StreamId, std::string> bodies;
        // The next chunk of a body ends the connection.
        bool dropsAtNextChunk { false };

    private:
        void accept(std::unique_ptr<TcpStream> stream)
        {
            const size_t number = ++m_acceptedCount;
            m_channel = std::make_unique<FrameChannel>(m_loop, std::move(stream),
                FrameChannel::Callbacks { .onMessage =
                                              [this, number](const Message& message) {
                                                  if (m_channel && number == m_acceptedCount)
                                                      handle(message);
                                              },
                    .onEnd =
                        [this, number](StreamEnd) {
                            if (number == m_acceptedCount)
                                m_channel.reset();
                        } });
        }
        void handle(const Message& message)
        {
            if (const auto* cancel = std::get_if<Cancel>(&message))
                cancelledStreams.push_back(cancel->stream);
            if (const auto* call = std::get_if<CallStart>(&message))
                calls.push_back(*call);
            if (const auto* request = std::get_if<SourceUpdateRequest>(&message))
                updateRequests.push_back(*request);
            if (const auto* chunk = std::get_if<BodyChunk>(&message)) {
                if (std::exchange(dropsAtNextChunk, false)) {
                    m_partialBodies.clear();
                    dropConnection();
                    return;
                }
                std::string& body = m_partialBodies[chunk->stream];
                if (BodyAssembler(maxBodyBytes).add(body, *chunk))
                    bodies[chunk->stream] = std::move(body);
            }
            if (std::holds_alternative<Ping>(message))
                ++pingCount;
            if (isSilent)
                return;
            if (std::holds_alternative<Hello>(message))
                m_channel->send(Hello { .incarnation = incarnation });
            if (const auto* ping = std::get_if<Ping>(&message))
                m_channel->send(Pong { .nonce = ping->nonce });
        }

        static constexpr size_t maxBodyBytes = 16 * 1024 * 1024;
        EventLoop& m_loop;
        std::map<StreamId, std::string> m_partialBodies;
        size_t m_acceptedCount { 0 };
        std::unique_ptr<FrameChannel> m_channel;
        std::vector<std::unique_ptr<FrameChannel>> m_silentChannels;
        TcpListener m_listener;
    };

    class PeerClientTest : public testing::Test {
    protected:
        PeerClientTest()
            : peer(loop)
            , client(loop, peer.address(), Hello { .incarnation = Incarnation(9) },
                  { .connectTimeout = 200ms,
                      .pingAfter = 50ms,
                      .updatePingAfter = 100ms,
                      .suspectAfter = 50ms,
                      .pongTimeout = 150ms },
                  [this](const SourceUpdate& update) { updates.push_back(update); })
        {
        }
        void connect()
        {
            client.connect();
            runFor(50ms);
            ASSERT_TRUE(client.isConnected());
        }
        void submit(uint64_t number, bool isIdempotent, const std::string& body = "", HttpHeaders headers = {})
        {
            auto request = std::make_shared<HttpRequest>();
            request->body = body;
            request->headers = std::move(headers);
            client.submit({ .key = { .sender = Incarnation(9), .stream = StreamId(number) },
                              .request = std::move(request),
                              .deadline = loop.now() + 5s,
                              .isIdempotent = isIdempotent },
                [this, number](const GateReplyPtr& reply) { replies.emplace(number, reply); });
        }
        void runFor(Duration time)
        {
            Timer timer(loop, [this] { loop.stop(); });
            timer.start(time);
            loop.run();
        }
        CallOutcome outcome(uint64_t number) { return std::get<GateRefusal>(*replies.at(number)).outcome; }

        SystemClock clock;
        EventLoop loop { clock };
        FakePeer peer;
        PeerClient client;
        std::map<uint64_t, GateReplyPtr> replies;
        std::vector<SourceUpdate> updates;
    };

    // Guards against losing calls with their connection although the peer continues to run them.
    TEST_F(PeerClientTest, CallsAreResentToTheSameProcessAfterAConnectionLoss)
    {
        submit(1, false);
        runFor(50ms);
        ASSERT_EQ(peer.calls.size(), 1u);
        EXPECT_FALSE(peer.calls[0].isResend);
        peer.dropConnection();
        runFor(50ms);
        ASSERT_EQ(peer.calls.size(), 2u);
        EXPECT_TRUE(peer.calls[1].isResend);
        EXPECT_EQ(peer.calls[1].stream, peer.calls[0].stream);
        EXPECT_TRUE(replies.empty());
        peer.answer(StreamId(1));
        runFor(20ms);
        EXPECT_TRUE(std::holds_alternative<GateResponse>(*replies.at(1)));
    }

    // Guards against a server that counts as leaving for good because a peer of an earlier release, which stops, says
    // so of itself in its load hints.
    TEST_F(PeerClientTest, HintOfALeavingPeerSaysNothingOfItsServer)
    {
        const auto refusedLoad = [this](uint64_t number) {
            submit(number, true);
            runFor(50ms);
            peer.refuse(StreamId(number), { .limit = 4, .isLeaving = true });
            runFor(50ms);
            return std::get<GateRefusal>(*replies.at(number)).load;
        };
        EXPECT_TRUE(refusedLoad(1).isLeaving);
        peer.announceLeaving();
        EXPECT_FALSE(refusedLoad(2).isLeaving);
        EXPECT_EQ(refusedLoad(3).limit, 4u);
    }

    // Guards against a response that is none and reaches the caller through a peer that did not check it.
    TEST_F(PeerClientTest, ResponseWithAnInvalidHeadIsUnknown)
    {
        struct Head {
            uint32_t status { 200 };
            HeaderList headers;
            bool isValid { false };
        };
        const std::vector<Head> heads { { .status = 0 }, { .status = 99 }, { .status = 100 }, { .status = 101 },
            { .status = 199 }, { .status = 600 }, { .status = 700 }, { .status = 4'000'000'000U },
            { .headers = { { "", "v" } } }, { .headers = { { "X Y", "v" } } }, { .headers = { { " X", "v" } } },
            { .headers = { { "X\x01", "v" } } }, { .headers = { { "X:", "v" } } },
            { .headers = { { "X", "a\r\nSet-Cookie: b" } } }, { .headers = { { "X", std::string("a\0b", 3) } } },
            { .headers = { { "X", "\x7f" } } }, { .headers = { { "X", "a\tb" } }, .isValid = true },
            { .status = 599, .headers = { { "X", "" } }, .isValid = true } };
        for (size_t i = 0; i < heads.size(); ++i) {
            submit(i, false);
            runFor(i == 0 ? 50ms : 5ms);
            peer.answer(StreamId(i), heads[i].status, heads[i].headers);
            runFor(10ms);
            ASSERT_TRUE(replies.contains(i)) << i;
            ASSERT_EQ(std::holds_alternative<GateResponse>(*replies.at(i)), heads[i].isValid) << i;
            if (!heads[i].isValid) {
                EXPECT_EQ(outcome(i), CallOutcome::Unknown) << i;
            }
        }
    }

    // Guards against a call that ends the connection, or opens it again and again, because its head cannot be encoded:
    // the other calls to the peer fail with it.
    TEST_F(PeerClientTest, CallThatCannotBeEncodedFailsAlone)
    {
        const HttpHeaders tooMany(maxHeadBytes / minFieldBytes + 1, HttpHeader { "a", "" });
        submit(1, false);
        submit(2, false, "body", tooMany);
        submit(3, false);
        runFor(100ms);
        ASSERT_TRUE(replies.contains(2)) << "while the connection was being opened";
        EXPECT_EQ(outcome(2), CallOutcome::NotRun);
        submit(4, false, "body", tooMany);
        ASSERT_TRUE(replies.contains(4)) << "on an open connection";
        EXPECT_EQ(outcome(4), CallOutcome::NotRun);
        for (const uint64_t number : { 1, 3 }) {
            peer.answer(StreamId(number));
            runFor(20ms);
            ASSERT_TRUE(replies.contains(number)) << number;
            EXPECT_TRUE(std::holds_alternative<GateResponse>(*replies.at(number))) << number;
        }
        EXPECT_EQ(peer.calls.size(), 2u);
        EXPECT_EQ(peer.connectionCount(), 1u);
    }

    // Guards against a body that reaches the peer with a gap when its connection is lost halfway.
    TEST_F(PeerClientTest, BodyIsResentWholeAfterAConnectionLossHalfway)
    {
        connect();
        std::string body(3 * 1024 * 1024, 'x');
        body.back() = 'y';
        peer.dropsAtNextChunk = true;
        submit(1, false, body);
        submit(2, false, "small");
        runFor(300ms);
        EXPECT_FALSE(peer.dropsAtNextChunk);
        EXPECT_TRUE(peer.bodies[StreamId(1)] == body);
        EXPECT_EQ(peer.bodies[StreamId(2)], "small");
        EXPECT_TRUE(peer.calls.back().isResend);
    }

    // Guards against an upload that goes on after its caller has left, and against calls that wait behind it.
    TEST_F(PeerClientTest, CancelledBodyIsNotSentToTheEnd)
    {
        connect();
        submit(1, false, std::string(8 * 1024 * 1024, 'x'));
        submit(2, false, "small");
        client.cancel(StreamId(1));
        runFor(200ms);
        EXPECT_FALSE(peer.bodies.contains(StreamId(1)));
        EXPECT_EQ(peer.bodies[StreamId(2)], "small");
        EXPECT_EQ(peer.cancelledStreams, std::vector<StreamId> { StreamId(1) });
        EXPECT_TRUE(client.isConnected());
    }

    // Guards against work for callers that have left: the gate runs a call until its deadline if it never learns that
    // the caller left while the connection between the nodes was being opened again.
    TEST_F(PeerClientTest, CallCancelledDuringAReconnectIsCancelledAtThePeer)
    {
        submit(1, true);
        runFor(50ms);
        peer.isSilent = true;
        peer.dropConnection();
        runFor(50ms);
        client.cancel(StreamId(1));
        peer.isSilent = false;
        runFor(1s);
        ASSERT_FALSE(peer.cancelledStreams.empty());
        EXPECT_EQ(peer.cancelledStreams.front(), StreamId(1));
        EXPECT_EQ(peer.calls.size(), 1u);
    }

    // The same for a cancellation that was written to a connection which the peer no longer has.
    TEST_F(PeerClientTest, CancellationThatTheConnectionLosesIsSentAgain)
    {
        submit(1, true);
        runFor(50ms);
        peer.dropConnection();
        client.cancel(StreamId(1));
        runFor(300ms);
        EXPECT_EQ(peer.cancelledStreams, std::vector { StreamId(1) });
    }

    TEST_F(PeerClientTest, NewProcessGetsNoCancellationsOfTheFormerOne)
    {
        submit(1, true);
        runFor(50ms);
        peer.incarnation = Incarnation(2);
        peer.dropConnection();
        client.cancel(StreamId(1));
        runFor(300ms);
        EXPECT_TRUE(peer.cancelledStreams.empty());
    }

    // Guards against a second run: the new process has no record of the first copy of the call.
    TEST_F(PeerClientTest, CallsOfAReplacedProcessAreUnknown)
    {
        submit(1, false);
        runFor(50ms);
        peer.incarnation = Incarnation(2);
        peer.dropConnection();
        runFor(50ms);
        EXPECT_EQ(peer.calls.size(), 1u);
        EXPECT_EQ(outcome(1), CallOutcome::Unknown);
    }

    TEST_F(PeerClientTest, CallToAPeerThatNeverSendsHelloIsNotRun)
    {
        peer.isSilent = true;
        submit(1, false);
        runFor(600ms);
        EXPECT_EQ(outcome(1), CallOutcome::NotRun);
        EXPECT_TRUE(peer.calls.empty());
        EXPECT_FALSE(client.isUsable());
    }

    // A peer that is slow to answer keeps its calls: cancelling them would abort work in progress at the server.
    TEST_F(PeerClientTest, SuspectPeerGetsNoNewCallsAndKeepsItsCurrentOnes)
    {
        submit(1, true);
        runFor(30ms);
        peer.isSilent = true;
        runFor(150ms);
        EXPECT_FALSE(client.isUsable());
        EXPECT_TRUE(replies.empty());
        EXPECT_TRUE(peer.cancelledStreams.empty());
        runFor(800ms);
        EXPECT_EQ(outcome(1), CallOutcome::Unknown);
    }

    // Guards against a configuration that is in force late: a node that follows a peer over a connection that has gone
    // silent waited until its knowledge was too old.
    TEST_F(PeerClientTest, UpdateRequestOnASilentConnectionIsSentAgainOverANewOne)
    {
        connect();
        ASSERT_TRUE(client.requestSourceUpdate({ .version = VersionNumber(6) }));
        runFor(30ms);
        ASSERT_EQ(peer.updateRequests.size(), 1u);
        peer.silenceConnection();
        runFor(700ms);
        ASSERT_EQ(peer.updateRequests.size(), 2u);
        EXPECT_EQ(peer.updateRequests[1].version, VersionNumber(6));
        peer.answerUpdateRequest();
        runFor(30ms);
        ASSERT_EQ(updates.size(), 1u);
        EXPECT_EQ(updates[0].version, VersionNumber(7));
    }

    TEST_F(PeerClientTest, UpdateRequestOnALostConnectionIsSentAgainOverANewOne)
    {
        connect();
        ASSERT_TRUE(client.requestSourceUpdate({}));
        runFor(30ms);
        peer.dropConnection();
        runFor(50ms);
        EXPECT_EQ(peer.updateRequests.size(), 2u);
    }

    TEST_F(PeerClientTest, UpdateRequestIsSentAgainWhenAnUnreachablePeerIsBack)
    {
        connect();
        ASSERT_TRUE(client.requestSourceUpdate({}));
        runFor(30ms);
        peer.isSilent = true;
        peer.dropConnection();
        runFor(600ms);
        EXPECT_FALSE(client.isUsable());
        peer.isSilent = false;
        runFor(1500ms);
        EXPECT_EQ(peer.updateRequests.size(), 2u);
    }

    // A peer holds requests until it has news.
    TEST_F(PeerClientTest, PeerThatHoldsAnUpdateRequestKeepsItsConnection)
    {
        connect();
        ASSERT_TRUE(client.requestSourceUpdate({}));
        runFor(1s);
        EXPECT_EQ(peer.updateRequests.size(), 1u);
        EXPECT_GE(peer.pingCount, 1u);
        peer.answerUpdateRequest();
        runFor(30ms);
        EXPECT_EQ(updates.size(), 1u);
    }

    TEST_F(PeerClientTest, AnsweredUpdateRequestIsNotSentAgain)
    {
        connect();
        ASSERT_TRUE(client.requestSourceUpdate({}));
        runFor(30ms);
        peer.answerUpdateRequest();
        runFor(30ms);
        peer.dropConnection();
        runFor(300ms);
        EXPECT_EQ(peer.updateRequests.size(), 1u);
    }

    TEST_F(PeerClientTest, RecoveredPeerIsUsedAgain)
    {
        peer.isSilent = true;
        submit(1, true);
        runFor(600ms);
        EXPECT_FALSE(client.isUsable());
        peer.isSilent = false;
        runFor(1500ms);
        EXPECT_TRUE(client.isUsable());
        submit(2, true);
        runFor(30ms);
        EXPECT_EQ(peer.calls.size(), 1u);
    }

} // namespace
} // namespace skylark
