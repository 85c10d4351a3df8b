#include "node/HttpServer.h"

#include "base/Error.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylark {

namespace {

    int millisecondsUntil(TimePoint deadline)
    {
        const auto remaining
            = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        return static_cast<int>(std::clamp<int64_t>(remaining.count(), 0, 1 << 30));
    }

    // Waits until the event is ready on the socket; returns false at the deadline or on an error.
    bool waitForEvent(int socket, short event, TimePoint deadline)
    {
        pollfd entry { .fd = socket, .events = event, .revents = 0 };
        while (true) {
            const int count = ::poll(&entry, 1, millisecondsUntil(deadline));
            if (count > 0)
                return (entry.revents & event) != 0 || (entry.revents & POLLHUP) != 0;
            if (count == 0 || errno != EINTR)
                return false;
        }
    }

    void readAddress(const sockaddr_in& address, std::string& ip, int& port)
    {
        char text[INET_ADDRSTRLEN] = {};
        ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
        ip = text;
        port = ntohs(address.sin_port);
    }

    // The stream through which cpp-httplib reads requests and writes responses. It buffers reads, since cpp-httplib
    // reads the request head byte by byte, and counts the bytes of the head to reject one that is too long.
    class BoundedStream final : public httplib::Stream {
    public:
        BoundedStream(int socket, const HttpServerOptions& options)
            : m_socket(socket)
            , m_options(options)
        {
        }

        bool hasBufferedBytes() const { return m_begin < m_end; }

        void startRequest()
        {
            m_headBytes = 0;
            m_lineBreaks = 0;
            m_isInHead = true;
            m_headDeadline = std::chrono::steady_clock::now() + m_options.headTimeout;
        }

        bool is_readable() const override
        {
            return hasBufferedBytes() || waitForEvent(m_socket, POLLIN, readDeadline());
        }
        bool is_writable() const override
        {
            return waitForEvent(m_socket, POLLOUT, std::chrono::steady_clock::now() + m_options.progressTimeout);
        }

        ssize_t read(char* target, size_t size) override
        {
            if (!hasBufferedBytes() && !fillBuffer())
                return m_isClosed ? 0 : -1;
            const size_t count = std::min(size, m_end - m_begin);
            std::memcpy(target, m_buffer + m_begin, count);
            m_begin += count;
            if (m_isInHead && !scanHeadBytes(target, count))
                return -1;
            return static_cast<ssize_t>(count);
        }

        ssize_t write(const char* data, size_t size) override
        {
            while (true) {
                const ssize_t count = ::send(m_socket, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
                if (count >= 0)
                    return count;
                if (errno == EINTR)
                    continue;
                if ((errno != EAGAIN && errno != EWOULDBLOCK) || !is_writable())
                    return -1;
            }
        }

        void get_remote_ip_and_port(std::string& ip, int& port) const override
        {
            sockaddr_in address {};
            socklen_t length = sizeof(address);
            if (::getpeername(m_socket, reinterpret_cast<sockaddr*>(&address), &length) == 0)
                readAddress(address, ip, port);
        }
        void get_local_ip_and_port(std::string& ip, int& port) const override
        {
            sockaddr_in address {};
            socklen_t length = sizeof(address);
            if (::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length) == 0)
                readAddress(address, ip, port);
        }
        socket_t socket() const override { return m_socket; }

    private:
        TimePoint readDeadline() const
        {
            return m_isInHead ? m_headDeadline : std::chrono::steady_clock::now() + m_options.progressTimeout;
        }

        bool fillBuffer()
        {
            while (true) {
                const ssize_t count = ::recv(m_socket, m_buffer, sizeof(m_buffer), MSG_DONTWAIT);
                if (count > 0) {
                    m_begin = 0;
                    m_end = static_cast<size_t>(count);
                    return true;
                }
                if (count == 0) {
                    m_isClosed = true;
                    return false;
                }
                if (errno == EINTR)
                    continue;
                if ((errno != EAGAIN && errno != EWOULDBLOCK) || !waitForEvent(m_socket, POLLIN, readDeadline()))
                    return false;
            }
        }

        // Returns false if the head is too long. An empty line ends the head.
        bool scanHeadBytes(const char* bytes, size_t count)
        {
            for (size_t index = 0; index < count && m_isInHead; ++index) {
                if (bytes[index] == '\n')
                    m_isInHead = ++m_lineBreaks < 2;
                else if (bytes[index] != '\r')
                    m_lineBreaks = 0;
            }
            m_headBytes += count;
            return m_headBytes <= m_options.maxHeaderBytes.value();
        }

        int m_socket;
        const HttpServerOptions& m_options;
        char m_buffer[16 * 1024];
        size_t m_begin { 0 };
        size_t m_end { 0 };
        bool m_isClosed { false };
        bool m_isInHead { true };
        int m_lineBreaks { 0 };
        size_t m_headBytes { 0 };
        TimePoint m_headDeadline;
    };

    // Waits for the first byte of the next request; returns false on timeout or if the peer has closed the connection.
    // A drain shortens the timeout to options.drainGrace.
    bool waitForRequest(int socket, int drainEvent, const HttpServerOptions& options)
    {
        pollfd entries[2] = { { .fd = socket, .events = POLLIN, .revents = 0 },
            { .fd = drainEvent, .events = POLLIN, .revents = 0 } };
        TimePoint deadline = std::chrono::steady_clock::now() + options.keepAliveTimeout;
        nfds_t watchedEntries = 2;
        while (true) {
            const int count = ::poll(entries, watchedEntries, millisecondsUntil(deadline));
            if (count < 0 && errno == EINTR)
                continue;
            if (count <= 0)
                return false;
            if (entries[0].revents != 0)
                return (entries[0].revents & POLLIN) != 0;
            watchedEntries = 1;
            deadline = std::min(deadline, std::chrono::steady_clock::now() + options.drainGrace);
        }
    }

    // Closes without a TCP reset, which would discard a response that the peer has not read yet.
    void closeGracefully(int socket)
    {
        constexpr auto maxLinger = std::chrono::milliseconds(200);
        ::shutdown(socket, SHUT_WR);
        const TimePoint deadline = std::chrono::steady_clock::now() + maxLinger;
        char discardBuffer[4096];
        while (waitForEvent(socket, POLLIN, deadline)
            && ::recv(socket, discardBuffer, sizeof(discardBuffer), MSG_DONTWAIT) > 0) { }
        ::close(socket);
    }

} // namespace

namespace {
    thread_local bool isCloseRequested = false;
}

void HttpServer::closeAfterRequest() { isCloseRequested = true; }

bool HttpServer::willCloseAfterRequest() { return isCloseRequested; }

HttpServer::HttpServer(HttpServerOptions options)
    : m_options(options)
{
    set_tcp_nodelay(true);
    set_keep_alive_max_count(SIZE_MAX);
    set_socket_options([](socket_t socket) {
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    new_task_queue = [threads = m_options.threads] { return new httplib::ThreadPool(threads); };
}

HttpServer::~HttpServer() = default;

uint16_t HttpServer::bind(const Endpoint& address)
{
    int port = address.port;
    if (port == 0)
        port = bind_to_any_port(address.host);
    else if (!bind_to_port(address.host, port))
        port = 0;
    // A second listen() on a listening socket only changes its backlog.
    const bool isListening = port > 0 && ::listen(svr_sock_, SOMAXCONN) == 0;
    return isListening ? static_cast<uint16_t>(port) : 0;
}

void HttpServer::drain()
{
    if (m_isDraining.exchange(true))
        return;
    m_drainEvent.notify();
    // Closing the listener resets connections that are not accepted yet. With a backlog of 0 no new ones are queued,
    // and the accept loop has time to accept those in the queue.
    constexpr auto backlogDrainTime = std::chrono::milliseconds(50);
    const int listener = svr_sock_;
    if (is_running() && ::listen(listener, 0) == 0)
        std::this_thread::sleep_for(backlogDrainTime);
    stop();
}

bool HttpServer::process_and_close_socket(socket_t socket)
{
    m_connections.fetch_add(1);
    serveConnection(socket);
    m_connections.fetch_sub(1);
    closeGracefully(socket);
    return true;
}

void HttpServer::serveConnection(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    BoundedStream stream(socket, m_options);
    while (stream.hasBufferedBytes() || waitForRequest(socket, m_drainEvent.descriptor().value(), m_options)) {
        stream.startRequest();
        m_inFlight.fetch_add(1);
        bool isClosed = false;
        isCloseRequested = false;
        const bool isServed = process_request(stream, m_isDraining.load(), isClosed, nullptr);
        m_inFlight.fetch_sub(1);
        if (!isServed || isClosed || isCloseRequested)
            return;
    }
}

} // namespace skylark
