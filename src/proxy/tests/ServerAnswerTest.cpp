// Tests what the gate makes of the bytes of a faulty server: answers that are cut at each byte, and second copies of
// answers at each moment of the next request.
#include "base/Socket.h"
#include "proxy/BackendGate.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <thread>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    enum class Ending : uint8_t {
        Open,
        Close,
        Reset,
    };

    // What the server sends for one request.
    struct Script {
        std::string firstPart;
        // Sent after a pause, if not empty.
        std::string secondPart {};
        Ending ending { Ending::Open };
        // Sent before the request on this connection is answered, as if it had been late.
        std::string beforeAnswer {};
    };

    // Answers each request by a script; accepts any number of connections.
    class ScriptedServer {
    public:
        using ScriptOf = std::function<Script(const std::string& id)>;

        ScriptedServer(EventLoop& loop, ScriptOf scriptOf)
            : m_loop(loop)
            , m_scriptOf(std::move(scriptOf))
            , m_listener(loop, { "127.0.0.1", 0 }, [this](std::unique_ptr<TcpStream> stream) {
                m_connections.push_back(std::make_unique<Connection>(*this, std::move(stream)));
            })
        {
        }
        Endpoint address() const { return { "127.0.0.1", m_listener.port() }; }
        void setScript(ScriptOf scriptOf) { m_scriptOf = std::move(scriptOf); }

    private:
        class Connection final : public StreamHandler {
        public:
            Connection(ScriptedServer& server, std::unique_ptr<TcpStream> stream)
                : m_server(server)
                , m_stream(std::move(stream))
                , m_parser({})
                , m_pause(server.m_loop, [this] { sendSecondPart(); })
            {
                m_stream->setHandler(*this);
                m_stream->startReading();
            }
            void onData(std::string_view bytes) override
            {
                m_parser.append(bytes);
                while (m_stream) {
                    const auto request = m_parser.next();
                    if (!request)
                        return;
                    const Script script
                        = m_server.m_scriptOf(*findHeader(request->headers, HttpConventions().requestId));
                    m_stream->write(script.beforeAnswer + script.firstPart);
                    if (script.secondPart.empty()) {
                        finish(script.ending);
                        continue;
                    }
                    m_delayed = script;
                    m_pause.start(2ms);
                }
            }
            void onEnd(StreamEnd) override { m_stream.reset(); }

        private:
            void sendSecondPart()
            {
                if (m_stream)
                    m_stream->write(m_delayed.secondPart);
                finish(m_delayed.ending);
            }
            void finish(Ending ending)
            {
                if (!m_stream || ending == Ending::Open)
                    return;
                if (ending == Ending::Close)
                    TcpStream::closeAfterFlush(std::move(m_stream));
                else
                    TcpStream::reset(std::move(m_stream));
                m_stream.reset();
            }

            ScriptedServer& m_server;
            std::unique_ptr<TcpStream> m_stream;
            RequestParser m_parser;
            Script m_delayed;
            Timer m_pause;
        };

        EventLoop& m_loop;
        ScriptOf m_scriptOf;
        std::vector<std::unique_ptr<Connection>> m_connections;
        TcpListener m_listener;
    };

    enum class Framing : uint8_t {
        Length,
        Chunks,
        UntilClose,
    };

    const std::string answerBody = "the answer's body";

    // An answer as a server sends it, and the size of its head.
    struct Answer {
        std::string bytes;
        size_t headBytes { 0 };
    };

    Answer makeAnswer(const std::string& id, Framing framing)
    {
        Answer answer { .bytes = "HTTP/1.1 200 OK\r\n" + HttpConventions().requestId + ": " + id + "\r\n"
                + HttpConventions().proof + ": proof-" + id + "\r\n" };
        if (framing == Framing::Length)
            answer.bytes += "Content-Length: " + std::to_string(answerBody.size()) + "\r\n";
        if (framing == Framing::Chunks)
            answer.bytes += "Transfer-Encoding: chunked\r\n";
        answer.bytes += "\r\n";
        answer.headBytes = answer.bytes.size();
        if (framing == Framing::Chunks)
            answer.bytes += "8\r\n" + answerBody.substr(0, 8) + "\r\n9\r\n" + answerBody.substr(8) + "\r\n0\r\n\r\n";
        else
            answer.bytes += answerBody;
        return answer;
    }

    class ServerAnswerTest : public testing::Test {
    protected:
        ServerAnswerTest()
            : server(loop, [](const std::string&) { return Script {}; })
            , gate(loop, { .server = server.address() }, httpConventions)
        {
            gate.setServer(serverRecord());
        }
        static ServerRecord serverRecord()
        {
            return {
                .id = InstanceId("server"), .incarnation = Incarnation(1), .service = ServiceName("work"), .slots = 4
            };
        }

        // Sends one call to the gate and returns its reply, or null if none came in time.
        GateReplyPtr call(const std::string& id) { return callThrough(gate, id, ""); }
        GateReplyPtr callThrough(BackendGate& target, const std::string& id) { return callThrough(target, id, ""); }
        GateReplyPtr callThrough(BackendGate& target, const std::string& id, std::string body)
        {
            auto request = std::make_shared<HttpRequest>();
            request->method = "POST";
            request->target = "/pay/" + id;
            request->headers = { { "Host", "x" }, { HttpConventions().requestId, id } };
            request->body = std::move(body);
            GateReplyPtr reply;
            target.submit({ .key = { .sender = Incarnation(9), .stream = StreamId(++m_lastStream) },
                              .requestId = RequestId(id),
                              .service = ServiceName("work"),
                              .request = std::move(request),
                              .deadline = loop.now() + 3s },
                [&](const GateReplyPtr& received) {
                    reply = received;
                    loop.stop();
                });
            if (!reply)
                runFor(4s);
            return reply;
        }
        void runFor(Duration time)
        {
            Timer timer(loop, [this] { loop.stop(); });
            timer.start(time);
            loop.run();
        }
        static const HttpResponse* response(const GateReplyPtr& reply)
        {
            const auto* gateResponse = reply ? std::get_if<GateResponse>(reply.get()) : nullptr;
            return gateResponse ? &gateResponse->response : nullptr;
        }
        static const GateRefusal* refusal(const GateReplyPtr& reply)
        {
            return reply ? std::get_if<GateRefusal>(reply.get()) : nullptr;
        }

        const HttpConventions httpConventions;
        SystemClock clock;
        EventLoop loop { clock };
        ScriptedServer server;
        BackendGate gate;

    private:
        uint64_t m_lastStream { 0 };
    };

    // Guards against a broken answer that reaches the caller as a whole one, and against "not run" for a request that
    // was sent: cut at each byte of head and body, in each framing, with a close or a reset.
    TEST_F(ServerAnswerTest, AnswerCutAtAnyByteIsNoAnswerAndItsFateIsUnknown)
    {
        for (const Framing framing : { Framing::Length, Framing::Chunks, Framing::UntilClose }) {
            for (const Ending ending : { Ending::Close, Ending::Reset }) {
                const size_t size = makeAnswer("id", framing).bytes.size();
                for (size_t cut = 0; cut < size; ++cut) {
                    SCOPED_TRACE(testing::Message() << "framing " << static_cast<int>(framing) << ", ending "
                                                    << static_cast<int>(ending) << ", cut at " << cut);
                    const std::string id = "c" + std::to_string(cut);
                    const Answer answer = makeAnswer(id, framing);
                    const size_t kept = cut * answer.bytes.size() / size;
                    server.setScript([&](const std::string&) {
                        return Script { .firstPart = answer.bytes.substr(0, kept), .ending = ending };
                    });
                    const GateReplyPtr reply = call(id);
                    ASSERT_NE(reply, nullptr);
                    const bool endsWithClose = framing == Framing::UntilClose && ending == Ending::Close;
                    if (endsWithClose && kept >= answer.headBytes) {
                        // Such an answer cannot be told from a whole one, so it is not framed as whole either.
                        ASSERT_NE(response(reply), nullptr);
                        EXPECT_TRUE(response(reply)->endsWithClose);
                        EXPECT_EQ(serialize(*response(reply)).find("Content-Length"), std::string::npos);
                        continue;
                    }
                    ASSERT_NE(refusal(reply), nullptr);
                    EXPECT_EQ(refusal(reply)->outcome, CallOutcome::Unknown);
                }
            }
        }
    }

    TEST_F(ServerAnswerTest, AnswerSplitAtAnyByteIsWhole)
    {
        for (const Framing framing : { Framing::Length, Framing::Chunks, Framing::UntilClose }) {
            const size_t size = makeAnswer("s10", framing).bytes.size();
            for (size_t split = 1; split < size; ++split) {
                const std::string id = "s" + std::to_string(split);
                const Answer answer = makeAnswer(id, framing);
                server.setScript([&](const std::string&) {
                    return Script { .firstPart = answer.bytes.substr(0, split),
                        .secondPart = answer.bytes.substr(split),
                        .ending = framing == Framing::UntilClose ? Ending::Close : Ending::Open };
                });
                const GateReplyPtr reply = call(id);
                ASSERT_NE(response(reply), nullptr) << split;
                EXPECT_EQ(response(reply)->body, answerBody) << split;
            }
        }
    }

    // Guards against an earlier answer that is taken for the answer to the next request on the connection: the second
    // copy follows the first one at once or later, whole or cut at each byte.
    TEST_F(ServerAnswerTest, SecondCopyBehindAnAnswerReachesNoOtherCall)
    {
        const std::string copy = makeAnswer("first", Framing::Length).bytes;
        for (size_t kept = 1; kept <= copy.size(); ++kept) {
            for (const bool isLate : { false, true }) {
                SCOPED_TRACE(testing::Message() << kept << " bytes, late: " << isLate);
                server.setScript([&](const std::string& id) {
                    if (id != "first")
                        return Script { .firstPart = makeAnswer(id, Framing::Length).bytes };
                    const std::string extra = copy.substr(0, kept);
                    return isLate ? Script { .firstPart = copy, .secondPart = extra }
                                  : Script { .firstPart = copy + extra };
                });
                // A gate of its own for each round: a late copy that arrives on a shared connection in the next round
                // bears the id of that round's first call.
                BackendGate roundGate(loop, { .server = server.address() }, httpConventions);
                roundGate.setServer(serverRecord());
                ASSERT_NE(response(callThrough(roundGate, "first")), nullptr);
                const GateReplyPtr reply = callThrough(roundGate, "second");
                ASSERT_NE(reply, nullptr);
                if (const HttpResponse* second = response(reply))
                    EXPECT_EQ(*findHeader(second->headers, HttpConventions().requestId), "second");
                else
                    EXPECT_EQ(refusal(reply)->outcome, CallOutcome::Unknown);
                // A late copy closes the connection unless it arrived beside the second call.
                for (int wait = 0; isLate && wait < 100 && roundGate.idleConnections() > 0; ++wait)
                    runFor(1ms);
                const GateReplyPtr last = callThrough(roundGate, "third");
                ASSERT_NE(response(last), nullptr);
                EXPECT_EQ(*findHeader(response(last)->headers, HttpConventions().requestId), "third");
            }
        }
    }

    // The same when the copy arrives while the next request is at the server, before its answer and in every framing.
    TEST_F(ServerAnswerTest, SecondCopyBeforeTheNextAnswerReachesNoOtherCall)
    {
        for (const Framing framing : { Framing::Length, Framing::Chunks, Framing::UntilClose }) {
            const std::string copy = makeAnswer("first", framing).bytes;
            for (size_t kept = 1; kept <= copy.size(); ++kept) {
                SCOPED_TRACE(testing::Message() << "framing " << static_cast<int>(framing) << ", " << kept << " bytes");
                server.setScript([&](const std::string& id) {
                    const std::string answer = makeAnswer(id, Framing::Length).bytes;
                    if (id == "first")
                        return Script { .firstPart = answer };
                    return Script {
                        .firstPart = answer, .ending = Ending::Close, .beforeAnswer = copy.substr(0, kept)
                    };
                });
                // The server has closed the connection of the last round.
                for (int wait = 0; wait < 100 && gate.idleConnections() > 0; ++wait)
                    runFor(1ms);
                ASSERT_NE(response(call("first")), nullptr);
                const GateReplyPtr reply = call("second");
                ASSERT_NE(reply, nullptr);
                if (const HttpResponse* second = response(reply)) {
                    EXPECT_EQ(*findHeader(second->headers, HttpConventions().requestId), "second");
                    EXPECT_EQ(second->body, answerBody);
                } else {
                    EXPECT_EQ(refusal(reply)->outcome, CallOutcome::Unknown);
                }
            }
        }
    }

    // How the server that reads almost nothing of a request ends the connection after its answer.
    enum class EarlyEnding : uint8_t {
        ResetAtOnce,
        ResetLater,
        CloseWithUnreadBytes,
        ShutdownThenReset,
    };

    // Answers the first connection before it has read the request, and ends it. Uses system calls, so that the end does
    // not wait for the loop.
    class EarlyAnswerServer {
    public:
        EarlyAnswerServer(std::string answer, EarlyEnding ending)
            : m_listener(listenOn({ "127.0.0.1", 0 }))
            , m_thread([this, answer = std::move(answer), ending] { run(answer, ending); })
        {
        }
        ~EarlyAnswerServer() { m_thread.join(); }
        Endpoint address() const { return boundEndpoint(m_listener); }

    private:
        void run(const std::string& answer, EarlyEnding ending)
        {
            FileDescriptor connection;
            for (int wait = 0; wait < 2000 && !connection; ++wait) {
                connection = acceptFrom(m_listener);
                std::this_thread::sleep_for(1ms);
            }
            const int smallBuffer = 4096;
            setsockopt(connection.value(), SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof(smallBuffer));
            std::array<char, 1024> bytes;
            while (recv(connection.value(), bytes.data(), bytes.size(), 0) < 0 && errno == EAGAIN)
                std::this_thread::sleep_for(1ms);
            send(connection.value(), answer.data(), answer.size(), MSG_NOSIGNAL);
            if (ending == EarlyEnding::ShutdownThenReset)
                shutdown(connection.value(), SHUT_WR);
            if (ending == EarlyEnding::ResetLater || ending == EarlyEnding::ShutdownThenReset)
                std::this_thread::sleep_for(20ms);
            if (ending != EarlyEnding::CloseWithUnreadBytes) {
                const linger immediate { .l_onoff = 1, .l_linger = 0 };
                setsockopt(connection.value(), SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
            }
        }

        const FileDescriptor m_listener;
        std::thread m_thread;
    };

    // Guards against a truncated body that the caller receives as a whole one: the server answers a long upload at
    // once, without a length, and ends the connection while the upload is being written.
    TEST_F(ServerAnswerTest, AnswerWithoutLengthThatEndsBeforeTheUploadIsNoAnswer)
    {
        for (const EarlyEnding ending : { EarlyEnding::ResetAtOnce, EarlyEnding::ResetLater,
                 EarlyEnding::CloseWithUnreadBytes, EarlyEnding::ShutdownThenReset }) {
            for (int round = 0; round < 10; ++round) {
                SCOPED_TRACE(testing::Message() << "ending " << static_cast<int>(ending) << ", round " << round);
                const Answer answer = makeAnswer("upload", Framing::UntilClose);
                EarlyAnswerServer earlyServer(answer.bytes.substr(0, answer.headBytes + 5), ending);
                BackendGate uploadGate(loop, { .server = earlyServer.address() }, httpConventions);
                uploadGate.setServer(serverRecord());
                const GateReplyPtr reply = callThrough(uploadGate, "upload", std::string(24'000'000, 'u'));
                ASSERT_NE(refusal(reply), nullptr);
                EXPECT_EQ(refusal(reply)->outcome, CallOutcome::Unknown);
                EXPECT_EQ(refusal(reply)->step, "backend-server");
            }
        }
    }

    // The same for the last bytes of an upload, which the gate's system holds because the server's accepts no more.
    TEST_F(ServerAnswerTest, AnswerWithoutLengthThatEndsBeforeTheServerAcceptedTheRequestIsNoAnswer)
    {
        const Answer answer = makeAnswer("upload", Framing::UntilClose);
        EarlyAnswerServer earlyServer(answer.bytes, EarlyEnding::ShutdownThenReset);
        BackendGate uploadGate(loop, { .server = earlyServer.address() }, httpConventions);
        uploadGate.setServer(serverRecord());
        const GateReplyPtr reply = callThrough(uploadGate, "upload", std::string(1'500'000, 'u'));
        ASSERT_NE(refusal(reply), nullptr);
        EXPECT_EQ(refusal(reply)->outcome, CallOutcome::Unknown);
    }

    // Guards against a lost answer of a request that ran which is reported as "not run": the server refuses the
    // connection only before the request was sent.
    TEST_F(ServerAnswerTest, BytesThatAreNoAnswerLeaveTheFateUnknown)
    {
        for (const char* bytes : { "nonsense\r\n\r\n", "HTTP/1.1\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "\0\0\0\0",
                 "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
                 "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 503 Busy\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }) {
            server.setScript(
                [&](const std::string&) { return Script { .firstPart = bytes, .ending = Ending::Close }; });
            const GateReplyPtr reply = call("odd");
            ASSERT_NE(refusal(reply), nullptr) << bytes;
            EXPECT_EQ(refusal(reply)->outcome, CallOutcome::Unknown) << bytes;
        }
        EXPECT_EQ(loop.unexpectedErrors(), 0u);
    }

} // namespace
} // namespace skylark
