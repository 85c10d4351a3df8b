// TCP connections and listeners on an EventLoop.
//
// - write() sends what the socket accepts and queues the rest. pendingBytes() returns the size of the queue, so that
//   the owner can bound it.
// - A stream reports its end once, through onEnd(), and never after its destruction.
// - Write errors are not reported separately: they end the stream on the reading side. Received bytes are still passed
//   on first; the end after a failed write is never reported as orderly.
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
    // The peer reset the connection, the connection timed out, or a write failed.
    Failed,
    // The connection was never established, and nothing was sent.
    NotConnected,
};

class StreamHandler {
public:
    virtual ~StreamHandler() = default;
    virtual void onConnected() { }
    virtual void onData(std::string_view bytes) = 0;
    // The kernel has accepted the bytes that write() had queued: pendingBytes() is zero again.
    virtual void onDrained() { }
    // The stream sends and receives nothing more; the handler should destroy it.
    virtual void onEnd(StreamEnd end) = 0;
};

struct ConnectOptions {
    Duration connectTimeout { std::chrono::milliseconds(500) };
    // The kernel closes the connection when sent bytes are not acknowledged for this long (TCP_USER_TIMEOUT).
    Duration unacknowledgedTimeout { std::chrono::seconds(2) };
};

struct CloseOptions {
    // The connection is reset if the peer accepts no byte of the pending data for this long.
    Duration flushTimeout { std::chrono::seconds(3) };
    // Time for the peer to close its side after all data has been sent.
    Duration lingerTimeout { std::chrono::seconds(1) };
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
    // `owner` is released once the bytes have been passed to the kernel or the connection has closed.
    void write(std::string bytes, std::shared_ptr<const void> owner = nullptr);
    // Without a copy of the bytes, which `owner` keeps in memory.
    void writeShared(std::string_view bytes, std::shared_ptr<const void> owner);
    size_t pendingBytes() const;
    // Pending bytes and sent bytes that the peer's system has not acknowledged.
    size_t undeliveredBytes() const;
    bool hasWriteError() const;
    // The kernel accepts no more bytes while it holds this many that it has not sent (TCP_NOTSENT_LOWAT). Bytes on
    // their way to the peer do not count, so the throughput is not limited.
    void limitUnsentBytes(size_t bytes);
    bool isConnected() const;
    // The peer's address without the port. Empty if it is unknown.
    std::string peerHost() const;
    // Sends the pending data, shuts down the sending side and discards received data until the peer closes its side, so
    // that no reset reaches the peer before it has read everything. If the data cannot be sent, the connection is
    // reset, so that a cut response does not look complete. The stream owns itself meanwhile;
    // EventLoop::pendingCloses() counts it.
    static void closeAfterFlush(std::unique_ptr<TcpStream> stream, const CloseOptions& options = {});
    // Closes the connection with a reset; pending data is discarded.
    static void reset(std::unique_ptr<TcpStream> stream);

private:
    friend class TcpListener;
    struct Handle;
    class LingeringClose;
    TcpStream(EventLoop& loop, Handle* handle);
    static size_t& pendingCloses(EventLoop& loop) { return loop.m_pendingCloses; }

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
