// A TCP connection and a listener on an EventLoop.
//
// write() sends what the socket takes at once and keeps the rest; pendingBytes() tells how much waits, so that the
// owner can bound it. A stream reports its end once, by onEnd(), and never after it was destroyed. Write errors are
// not reported by themselves: they end the stream on the reading side.
#pragma once

#include "eventloop/EventLoop.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace skylark {

enum class StreamEnd : uint8_t {
    // The peer closed its side in order.
    Closed,
    // The peer reset the connection, or the connection timed out.
    Failed,
    // It was never open: nothing was sent.
    NotConnected,
};

class StreamHandler {
public:
    virtual ~StreamHandler() = default;
    virtual void onConnected() { }
    virtual void onData(std::string_view bytes) = 0;
    // The stream sends and receives nothing more; destroy it.
    virtual void onEnd(StreamEnd end) = 0;
};

struct ConnectOptions {
    Duration connectTimeout { std::chrono::milliseconds(500) };
    // The kernel ends the connection when sent bytes are not acknowledged for this long.
    Duration unacknowledgedTimeout { std::chrono::seconds(2) };
};

class TcpStream {
public:
    static std::unique_ptr<TcpStream> connect(
        EventLoop& loop, const Endpoint& peer, StreamHandler& handler, const ConnectOptions& options);
    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    void setHandler(StreamHandler& handler);
    void startReading();
    void stopReading();
    void write(std::string bytes);
    size_t pendingBytes() const;
    bool isConnected() const;
    // Peer's address without the port.
    std::string peerHost() const;
    // Sends what is pending, then ends the own side and discards what still comes, for at most a second, so that the
    // peer is not reset before it has read everything. The stream needs no owner for that.
    static void closeAfterFlush(std::unique_ptr<TcpStream> stream);

private:
    friend class TcpListener;
    struct Handle;
    TcpStream(EventLoop& loop, Handle* handle);

    EventLoop& m_loop;
    Handle* m_handle;
};

class TcpListener {
public:
    using AcceptCallback = std::function<void(std::unique_ptr<TcpStream>)>;

    // Throws Error when the address cannot be bound. Port 0 takes a free one.
    TcpListener(EventLoop& loop, const Endpoint& address, AcceptCallback onAccept);
    ~TcpListener();
    TcpListener(const TcpListener&) = delete;
    TcpListener& operator=(const TcpListener&) = delete;

    uint16_t port() const;

private:
    struct Handle;
    EventLoop& m_loop;
    Handle* m_handle;
};

} // namespace skylark
