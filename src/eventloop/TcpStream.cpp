#include "eventloop/TcpStream.h"

#include "base/Error.h"

#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace skylark {

namespace {

    constexpr int listenBacklog = 1024;
    constexpr size_t readBufferBytes = 64 * 1024;
    constexpr size_t maxAddressTextBytes = 64;

    // All streams of a thread share one buffer, since the data of each read is passed on before the next read starts.
    char* sharedReadBuffer()
    {
        thread_local std::unique_ptr<char[]> buffer(new char[readBufferBytes]);
        return buffer.get();
    }

    void throwSocketError(int result, const char* step, const Endpoint& peer)
    {
        throw Error({ .step = step, .peer = peer.toString(), .message = uv_strerror(result) });
    }

    sockaddr_in addressOf(const Endpoint& endpoint)
    {
        sockaddr_in address {};
        if (const int result = uv_ip4_addr(endpoint.host.c_str(), endpoint.port, &address); result < 0)
            throwSocketError(result, "parse-address", endpoint);
        return address;
    }

    void setUnacknowledgedTimeout(uv_tcp_t& socket, Duration timeout)
    {
        uv_os_fd_t descriptor = -1;
        if (uv_fileno(reinterpret_cast<uv_handle_t*>(&socket), &descriptor) != 0)
            return;
        const auto milliseconds
            = static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
        setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
    }

} // namespace

struct TcpStream::Handle {
    EventLoop* loop { nullptr };
    uv_tcp_t socket {};
    uv_connect_t connectRequest {};
    uv_timer_t timer {};
    uv_shutdown_t shutdownRequest {};
    StreamHandler* handler { nullptr };
    Duration unacknowledgedTimeout { std::chrono::seconds(2) };
    // The libuv handles that are not closed yet: the socket and, if it was used, the timer.
    int unclosedHandles { 1 };
    bool hasTimer { false };
    bool isConnected { false };
    bool hasEnded { false };
    bool isClosing { false };
    // A write takes the socket's pending error, so that the next read of a reset connection reports an orderly end.
    bool hasWriteError { false };

    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket); }

    static Handle& fromData(void* data) { return *static_cast<Handle*>(data); }

    void startTimer(uv_loop_t* loop, Duration wait, uv_timer_cb callback)
    {
        if (!hasTimer) {
            uv_timer_init(loop, &timer);
            timer.data = this;
            hasTimer = true;
            ++unclosedHandles;
        }
        uv_timer_start(&timer, callback,
            static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count()), 0);
    }

    void close()
    {
        if (std::exchange(isClosing, true))
            return;
        handler = nullptr;
        const auto onClosed = [](uv_handle_t* closedHandle) {
            Handle& handle = fromData(closedHandle->data);
            if (--handle.unclosedHandles == 0)
                delete &handle;
        };
        uv_close(reinterpret_cast<uv_handle_t*>(&socket), onClosed);
        if (hasTimer)
            uv_close(reinterpret_cast<uv_handle_t*>(&timer), onClosed);
    }

    void end(StreamEnd reason)
    {
        if (std::exchange(hasEnded, true) || isClosing)
            return;
        if (isConnected)
            uv_read_stop(stream());
        if (handler)
            loop->runGuarded("stream-end", [this, reason] { handler->onEnd(reason); });
    }

    void receive(std::string_view bytes)
    {
        if (handler && !loop->runGuarded("stream-data", [this, bytes] { handler->onData(bytes); }))
            end(StreamEnd::Failed);
    }

    void reportDrained()
    {
        if (handler && !hasEnded && uv_stream_get_write_queue_size(stream()) == 0
            && !loop->runGuarded("stream-drained", [this] { handler->onDrained(); }))
            end(StreamEnd::Failed);
    }

    void startReading()
    {
        if (isClosing || hasEnded || !isConnected)
            return;
        uv_read_start(
            stream(),
            [](uv_handle_t*, size_t, uv_buf_t* buffer) { *buffer = uv_buf_init(sharedReadBuffer(), readBufferBytes); },
            [](uv_stream_t* source, ssize_t count, const uv_buf_t* buffer) {
                Handle& handle = fromData(source->data);
                if (count > 0)
                    handle.receive({ buffer->base, static_cast<size_t>(count) });
                else if (count < 0)
                    handle.end(count == UV_EOF && !handle.hasWriteError && !handle.wasReset() ? StreamEnd::Closed
                                                                                              : StreamEnd::Failed);
            });
    }

    void onConnectResult(int status)
    {
        if (isClosing || hasEnded)
            return;
        uv_timer_stop(&timer);
        if (status < 0) {
            end(StreamEnd::NotConnected);
            return;
        }
        isConnected = true;
        uv_tcp_nodelay(&socket, 1);
        setUnacknowledgedTimeout(socket, unacknowledgedTimeout);
        startReading();
        if (handler && !loop->runGuarded("stream-connected", [this] { handler->onConnected(); }))
            end(StreamEnd::Failed);
    }

    // libuv reports a reset that arrives together with data as the end of the stream.
    bool wasReset()
    {
        uv_os_fd_t descriptor = -1;
        char byte = 0;
        return uv_fileno(reinterpret_cast<uv_handle_t*>(&socket), &descriptor) == 0
            && recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0 && errno != EAGAIN;
    }

    // Makes the close of the socket a reset. uv_tcp_close_reset() does not work after uv_shutdown().
    void resetOnClose()
    {
        uv_os_fd_t descriptor = -1;
        const linger immediate { .l_onoff = 1, .l_linger = 0 };
        if (uv_fileno(reinterpret_cast<uv_handle_t*>(&socket), &descriptor) == 0)
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
    }

    // Returns the number of bytes that the kernel took, or nullopt if the connection cannot be written to.
    std::optional<size_t> tryWrite(std::string_view bytes)
    {
        if (isClosing || hasEnded || !isConnected)
            return std::nullopt;
        size_t sent = 0;
        if (uv_stream_get_write_queue_size(stream()) == 0) {
            uv_buf_t buffer = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
            const int result = uv_try_write(stream(), &buffer, 1);
            if (result < 0 && result != UV_EAGAIN) {
                hasWriteError = true;
                return std::nullopt;
            }
            sent = result < 0 ? 0 : static_cast<size_t>(result);
        }
        return sent;
    }

    void write(std::string bytes, std::shared_ptr<const void> owner)
    {
        if (const auto sent = tryWrite(bytes); sent && *sent < bytes.size()) {
            auto kept = std::make_shared<const std::pair<std::string, std::shared_ptr<const void>>>(
                std::move(bytes), std::move(owner));
            queueWrite(std::string_view(kept->first).substr(*sent), kept);
        }
    }

    void writeShared(std::string_view bytes, std::shared_ptr<const void> owner)
    {
        if (const auto sent = tryWrite(bytes); sent && *sent < bytes.size())
            queueWrite(bytes.substr(*sent), std::move(owner));
    }

    void queueWrite(std::string_view bytes, std::shared_ptr<const void> owner)
    {
        struct PendingWrite {
            uv_write_t request {};
            std::shared_ptr<const void> owner;
        };
        auto pending = std::make_unique<PendingWrite>();
        pending->owner = std::move(owner);
        pending->request.data = pending.get();
        uv_buf_t buffer = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
        const int result = uv_write(&pending->request, stream(), &buffer, 1, [](uv_write_t* request, int status) {
            Handle& handle = fromData(request->handle->data);
            delete static_cast<PendingWrite*>(request->data);
            if (status < 0)
                handle.hasWriteError = true;
            else
                handle.reportDrained();
        });
        if (result == 0)
            pending.release();
        else
            hasWriteError = true;
    }
};

TcpStream::TcpStream(EventLoop& loop, Handle* handle)
    : m_loop(loop)
    , m_handle(handle)
{
}

std::unique_ptr<TcpStream> TcpStream::connect(
    EventLoop& loop, const Endpoint& peer, StreamHandler& handler, const ConnectOptions& options)
{
    const sockaddr_in address = addressOf(peer);
    auto* handle = new Handle { .loop = &loop };
    uv_tcp_init(loop.native(), &handle->socket);
    handle->socket.data = handle;
    handle->handler = &handler;
    handle->unacknowledgedTimeout = options.unacknowledgedTimeout;
    handle->connectRequest.data = handle;
    std::unique_ptr<TcpStream> stream(new TcpStream(loop, handle));
    handle->startTimer(loop.native(), options.connectTimeout,
        [](uv_timer_t* timer) { Handle::fromData(timer->data).end(StreamEnd::NotConnected); });
    const int result
        = uv_tcp_connect(&handle->connectRequest, &handle->socket, reinterpret_cast<const sockaddr*>(&address),
            [](uv_connect_t* request, int status) { Handle::fromData(request->data).onConnectResult(status); });
    if (result < 0)
        throwSocketError(result, "connect", peer);
    return stream;
}

TcpStream::~TcpStream()
{
    if (m_handle)
        m_handle->close();
}

void TcpStream::setHandler(StreamHandler& handler) { m_handle->handler = &handler; }

void TcpStream::startReading() { m_handle->startReading(); }

void TcpStream::stopReading()
{
    if (m_handle->isConnected)
        uv_read_stop(m_handle->stream());
}

void TcpStream::write(std::string bytes, std::shared_ptr<const void> owner)
{
    m_handle->write(std::move(bytes), std::move(owner));
}

void TcpStream::writeShared(std::string_view bytes, std::shared_ptr<const void> owner)
{
    m_handle->writeShared(bytes, std::move(owner));
}

void TcpStream::limitUnsentBytes(size_t bytes)
{
    uv_os_fd_t descriptor = -1;
    const auto limit = static_cast<unsigned>(bytes);
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&m_handle->socket), &descriptor) == 0)
        setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &limit, sizeof(limit));
}

size_t TcpStream::pendingBytes() const { return uv_stream_get_write_queue_size(m_handle->stream()); }

size_t TcpStream::undeliveredBytes() const
{
    uv_os_fd_t descriptor = -1;
    int unacknowledgedBytes = 0;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&m_handle->socket), &descriptor) != 0
        || ioctl(descriptor, SIOCOUTQ, &unacknowledgedBytes) != 0)
        unacknowledgedBytes = 0;
    return pendingBytes() + static_cast<size_t>(unacknowledgedBytes);
}

bool TcpStream::hasWriteError() const { return m_handle->hasWriteError; }

bool TcpStream::isConnected() const { return m_handle->isConnected && !m_handle->hasEnded; }

std::string TcpStream::peerHost() const
{
    sockaddr_storage address {};
    int length = sizeof(address);
    std::array<char, maxAddressTextBytes> text {};
    if (uv_tcp_getpeername(&m_handle->socket, reinterpret_cast<sockaddr*>(&address), &length) != 0
        || uv_ip4_name(reinterpret_cast<const sockaddr_in*>(&address), text.data(), text.size()) != 0)
        return {};
    return text.data();
}

// Owns itself until the peer closes the connection or a timeout expires.
class TcpStream::LingeringClose final : public StreamHandler {
public:
    LingeringClose(std::unique_ptr<TcpStream> stream, const CloseOptions& options)
        : m_loop(stream->m_loop)
        , m_options(options)
        , m_stream(std::move(stream))
        , m_pendingBytes(m_stream->pendingBytes())
        , m_timer(m_loop, [this] { handleTimeout(); })
    {
        ++pendingCloses(m_loop);
        m_stream->setHandler(*this);
        Handle& handle = *m_stream->m_handle;
        uv_shutdown(&handle.shutdownRequest, handle.stream(), [](uv_shutdown_t* request, int) {
            // The handler of the stream, unless it has been closed.
            if (StreamHandler* handler = Handle::fromData(request->handle->data).handler)
                static_cast<LingeringClose*>(handler)->handleFlushed();
        });
        m_stream->startReading();
        startTimer();
    }
    ~LingeringClose() override { --pendingCloses(m_loop); }
    void onData(std::string_view) override { }
    void onEnd(StreamEnd) override { delete this; }

private:
    void startTimer() { m_timer.start(m_pendingBytes > 0 ? m_options.flushTimeout : m_options.lingerTimeout); }

    void handleFlushed()
    {
        m_pendingBytes = 0;
        startTimer();
    }

    void handleTimeout()
    {
        const size_t pendingBytes = m_stream->pendingBytes();
        if (m_pendingBytes > 0 && pendingBytes < m_pendingBytes) {
            m_pendingBytes = pendingBytes;
            startTimer();
            return;
        }
        if (pendingBytes > 0)
            m_stream->m_handle->resetOnClose();
        delete this;
    }

    EventLoop& m_loop;
    const CloseOptions m_options;
    std::unique_ptr<TcpStream> m_stream;
    // Pending bytes at the last check.
    size_t m_pendingBytes;
    Timer m_timer;
};

void TcpStream::reset(std::unique_ptr<TcpStream> stream) { stream->m_handle->resetOnClose(); }

void TcpStream::closeAfterFlush(std::unique_ptr<TcpStream> stream, const CloseOptions& options)
{
    if (stream->isConnected())
        new LingeringClose(std::move(stream), options);
}

struct TcpListener::Handle {
    uv_tcp_t socket {};
    EventLoop* loop { nullptr };
    AcceptCallback onAccept;
};

TcpListener::TcpListener(EventLoop& loop, const Endpoint& address, AcceptCallback onAccept)
    : m_loop(loop)
    , m_handle(new Handle { .loop = &loop, .onAccept = std::move(onAccept) })
{
    uv_tcp_init(loop.native(), &m_handle->socket);
    m_handle->socket.data = m_handle;
    const sockaddr_in socketAddress = addressOf(address);
    int result = uv_tcp_bind(&m_handle->socket, reinterpret_cast<const sockaddr*>(&socketAddress), 0);
    if (result == 0) {
        result = uv_listen(
            reinterpret_cast<uv_stream_t*>(&m_handle->socket), listenBacklog, [](uv_stream_t* server, int status) {
                if (status < 0)
                    return;
                auto& listener = *static_cast<Handle*>(server->data);
                auto* acceptedHandle = new TcpStream::Handle { .loop = listener.loop };
                uv_tcp_init(listener.loop->native(), &acceptedHandle->socket);
                acceptedHandle->socket.data = acceptedHandle;
                std::unique_ptr<TcpStream> stream(new TcpStream(*listener.loop, acceptedHandle));
                if (uv_accept(server, acceptedHandle->stream()) != 0)
                    return;
                acceptedHandle->isConnected = true;
                uv_tcp_nodelay(&acceptedHandle->socket, 1);
                listener.loop->runGuarded("accept", [&listener, &stream] { listener.onAccept(std::move(stream)); });
            });
    }
    if (result < 0) {
        uv_close(reinterpret_cast<uv_handle_t*>(&m_handle->socket),
            [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
        throwSocketError(result, "listen", address);
    }
}

TcpListener::~TcpListener()
{
    uv_close(reinterpret_cast<uv_handle_t*>(&m_handle->socket),
        [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

uint16_t TcpListener::port() const
{
    sockaddr_in address {};
    int length = sizeof(address);
    uv_tcp_getsockname(&m_handle->socket, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

} // namespace skylark
