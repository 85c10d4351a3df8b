#include "http/BlockingHttpClient.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylark {

namespace {

    constexpr size_t readBytes = 16 * 1024;
    using Deadline = std::chrono::steady_clock::time_point;

    int millisecondsUntil(Deadline deadline)
    {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        return static_cast<int>(std::max<int64_t>(0, left.count()));
    }

} // namespace

// A connected non-blocking socket that is waited for together with the interrupt.
class BlockingHttpClient::Socket {
public:
    explicit Socket(int interruptFd)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
        , m_interruptFd(interruptFd)
    {
    }
    ~Socket()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;

    // Nothing on success, else what went wrong.
    const char* connect(const Endpoint& server, Deadline deadline)
    {
        sockaddr_in address { .sin_family = AF_INET, .sin_port = htons(server.port) };
        if (m_fd < 0 || inet_pton(AF_INET, server.host.c_str(), &address.sin_addr) != 1)
            return "the address cannot be used";
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (::connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
            return nullptr;
        if (errno != EINPROGRESS)
            return std::strerror(errno);
        if (const char* reason = wait(POLLOUT, deadline))
            return reason;
        int error = 0;
        socklen_t length = sizeof(error);
        getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &length);
        return error == 0 ? nullptr : std::strerror(error);
    }

    const char* sendAll(std::string_view bytes, Deadline deadline)
    {
        while (!bytes.empty()) {
            const ssize_t count = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count > 0) {
                bytes.remove_prefix(static_cast<size_t>(count));
                continue;
            }
            if (errno != EAGAIN && errno != EINTR)
                return std::strerror(errno);
            if (const char* reason = wait(POLLOUT, deadline))
                return reason;
        }
        return nullptr;
    }

    // Waits for bytes and puts them in place of the buffer's; sets isClosed at the end of the stream.
    const char* receive(std::string& buffer, bool& isClosed, Deadline deadline)
    {
        if (const char* reason = wait(POLLIN, deadline))
            return reason;
        std::array<char, readBytes> bytes;
        const ssize_t count = ::recv(m_fd, bytes.data(), bytes.size(), 0);
        if (count < 0)
            return errno == EAGAIN || errno == EINTR ? nullptr : std::strerror(errno);
        isClosed = count == 0;
        buffer.assign(bytes.data(), static_cast<size_t>(count));
        return nullptr;
    }

    // The server has closed the idle connection, or sent what nobody asked for.
    bool isStale() const
    {
        pollfd entry { .fd = m_fd, .events = POLLIN };
        return poll(&entry, 1, 0) != 0;
    }

private:
    const char* wait(short events, Deadline deadline)
    {
        std::array<pollfd, 2> entries { pollfd { .fd = m_fd, .events = events },
            pollfd { .fd = m_interruptFd, .events = POLLIN } };
        const int ready = poll(entries.data(), entries.size(), millisecondsUntil(deadline));
        if (entries[1].revents != 0)
            return "the call was interrupted";
        if (ready < 0 && errno != EINTR)
            return std::strerror(errno);
        return ready == 0 ? "no answer in time" : nullptr;
    }

    const int m_fd;
    const int m_interruptFd;
};

BlockingHttpClient::BlockingHttpClient(BlockingHttpClientOptions options)
    : m_options(std::move(options))
    , m_interruptFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_interruptFd < 0)
        throw Error({ .step = "start-http-client", .message = std::strerror(errno) });
}

BlockingHttpClient::~BlockingHttpClient() { ::close(m_interruptFd); }

void BlockingHttpClient::interrupt() const
{
    const uint64_t one = 1;
    // Fails only where the counter is full, and then the descriptor is readable already.
    [[maybe_unused]] const ssize_t count = ::write(m_interruptFd, &one, sizeof(one));
}

void BlockingHttpClient::fail(const std::string& message) const
{
    throw Error({ .step = "http-get", .peer = m_options.server.toString(), .message = message });
}

void BlockingHttpClient::connect()
{
    auto socket = std::make_unique<Socket>(m_interruptFd);
    const Deadline deadline = std::chrono::steady_clock::now() + m_options.connectTimeout;
    if (const char* reason = socket->connect(m_options.server, deadline))
        fail(std::string("cannot connect: ") + reason);
    m_socket = std::move(socket);
    m_parser = std::make_unique<ResponseParser>(m_options.limits);
}

ReceivedResponse BlockingHttpClient::get(const std::string& target, Duration timeout)
{
    if (m_socket && m_socket->isStale())
        m_socket.reset();
    if (!m_socket)
        connect();
    const Deadline deadline = std::chrono::steady_clock::now() + timeout;
    const std::string request = serialize(
        HttpRequest { .method = "GET", .target = target, .headers = { { "Host", m_options.server.toString() } } });
    try {
        if (const char* reason = m_socket->sendAll(request, deadline))
            fail(reason);
        ReceivedResponse received = receive(deadline);
        if (!received.response.keepsAlive)
            m_socket.reset();
        return received;
    } catch (const Error&) {
        m_socket.reset();
        throw;
    }
}

ReceivedResponse BlockingHttpClient::receive(Deadline firstByteDeadline)
{
    std::string bytes;
    bool isClosed = false;
    std::optional<Deadline> began;
    Deadline deadline = firstByteDeadline;
    while (!isClosed) {
        bytes.clear();
        if (const char* reason = m_socket->receive(bytes, isClosed, deadline))
            fail(reason);
        const Deadline now = std::chrono::steady_clock::now();
        if (!began)
            began = now;
        deadline = now + m_options.progressTimeout;
        m_parser->append(bytes);
        if (auto response = m_parser->next())
            return { .response = std::move(*response), .transferTime = now - *began };
    }
    if (auto response = m_parser->finish()) {
        response->keepsAlive = false;
        return { .response = std::move(*response), .transferTime = std::chrono::steady_clock::now() - *began };
    }
    fail("the server closed the connection");
}

} // namespace skylark
