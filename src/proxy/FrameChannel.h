// Exchanges messages between two nodes over one TCP connection.
//
// Each side sends Hello first. A damaged frame or an unknown protocol version closes the channel. Bodies are split into
// chunks, so that a large body delays other messages by at most one chunk.
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
        // The owner may destroy the channel in this callback.
        std::function<void(StreamEnd)> onEnd;
    };

    // Opens a connection. Throws Error like TcpStream::connect.
    FrameChannel(EventLoop& loop, const Endpoint& peer, const ConnectOptions& options, Callbacks callbacks);
    // Takes over an accepted connection.
    FrameChannel(EventLoop& loop, std::unique_ptr<TcpStream> stream, Callbacks callbacks);

    void send(const Message& message);
    // Sends the head and a non-empty body in chunks, all in one write.
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
    // Set to false by the destructor, so that a loop over frames detects that a callback destroyed the channel.
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };

public:
    ~FrameChannel() override { *m_isAlive = false; }
};

HeaderList toHeaderList(const HttpHeaders& headers);
HttpHeaders toHttpHeaders(const HeaderList& headers);

// Reassembles bodies from chunks.
class BodyAssembler {
public:
    // maxBytes is the maximum size of one body.
    explicit BodyAssembler(size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }
    // Returns true when the body is complete. Throws Error for a gap or a body that is too large.
    bool add(std::string& body, const BodyChunk& chunk) const;

private:
    size_t m_maxBytes;
};

} // namespace skylark
