// Messages between two nodes over one TCP connection.
//
// Each side sends Hello first. A damaged frame or an unknown protocol version ends the channel. Bodies are cut into
// chunks, so that a large one delays the others by a chunk at most.
#pragma once

#include "eventloop/TcpStream.h"
#include "proxy/GateCall.h"
#include "wire/Frame.h"

#include <functional>

namespace skylark {

class FrameChannel final : public StreamHandler {
public:
    struct Callbacks {
        std::function<void()> onConnected {};
        std::function<void(Message)> onMessage;
        // The channel's owner may destroy it here.
        std::function<void(StreamEnd)> onEnd;
    };

    // Opens a connection; throws Error as TcpStream::connect.
    FrameChannel(EventLoop& loop, const Endpoint& peer, const ConnectOptions& options, Callbacks callbacks);
    // Takes an accepted connection.
    FrameChannel(EventLoop& loop, std::unique_ptr<TcpStream> stream, Callbacks callbacks);

    void send(const Message& message);
    // The head and, where it is not empty, the body in chunks. Both go out in one write where the socket takes it.
    void sendWithBody(const Message& head, StreamId stream, std::string_view body);
    size_t pendingBytes() const { return m_stream->pendingBytes(); }
    TimePoint lastReceived() const { return m_lastReceived; }

    void onConnected() override;
    void onData(std::string_view bytes) override;
    void onEnd(StreamEnd end) override;

private:
    EventLoop& m_loop;
    Callbacks m_callbacks;
    std::unique_ptr<TcpStream> m_stream;
    FrameReader m_reader;
    TimePoint m_lastReceived;
    // Cleared by the destructor, so that a loop over frames notices that a callback destroyed the channel.
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };

public:
    ~FrameChannel() override { *m_isAlive = false; }
};

HeaderList toHeaderList(const HttpHeaders& headers);
HttpHeaders toHttpHeaders(const HeaderList& headers);

// Puts the chunks of bodies together.
class BodyAssembler {
public:
    // Bytes that one body may have.
    explicit BodyAssembler(size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }
    // True when the body is whole. Throws Error for a gap or a body that is too large.
    bool add(std::string& body, const BodyChunk& chunk) const;

private:
    size_t m_maxBytes;
};

} // namespace skylark
