// TCP connections and listeners on an EventLoop.
//
// - write() sends what the socket accepts and queues the rest. pendingBytes() returns the size of the queue, so that
//   the owner can bound it.
// - A stream reports its end once, through onEnd(), and never after its destruction.
// - Write errors are not reported separately: they end the stream on the reading side.
#pragma once

#include "eventloop/EventLoop.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace skylark {

enum class StreamEnd : uint8_t {
    // The peer closed its side of the connection.
    Closed,
    // The peer reset the connection, or the connection timed out.
    Failed,
    // The connection was never established, and nothing was sent.
    NotConnected,
};

class StreamHandler {
public:
    virtual ~StreamHandler() = default;
    virtual void onConnected() { }
    virtual void onData(std::string_view bytes) = 0;
    // The stream sends and receives nothing more; the handler should destroy it.
    virtual void onEnd(StreamEnd end) = 0;
};

struct ConnectOptions {
    Duration connectTimeout { std::chrono::milliseconds(500) };
    // The kernel closes the connection when sent bytes are not acknowledged for this long (TCP_USER_TIMEOUT).
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
    // The peer's address without the port. Empty if it is unknown.
    std::string peerHost() const;
    // Sends the pending data, shuts down the sending side and discards received data for at most a second, so that no
    // reset reaches the peer before it has read everything. The stream owns itself meanwhile.
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

    // Throws Error if the address cannot be bound. Port 0 selects a free port.
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
