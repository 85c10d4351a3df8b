#include "http/BlockingHttpClient.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylark {

namespace {

    constexpr size_t readBufferBytes = 16 * 1024;
    using Deadline = std::chrono::steady_clock::time_point;

    int millisecondsUntil(Deadline deadline)
    {
        const auto remaining
            = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        return static_cast<int>(std::max<int64_t>(0, remaining.count()));
    }

} // namespace

// A non-blocking socket whose waits also end when the interrupt descriptor becomes readable.
class BlockingHttpClient::Socket {
public:
    // Starts to connect. Throws Error when that fails immediately.
    Socket(const Endpoint& server, const FileDescriptor& interrupt)
        : m_socket(startConnect(server))
        , m_interrupt(interrupt)
    {
    }

    // Like sendAll() and receive(), returns null on success and a description of the error otherwise.
    const char* awaitConnect(Deadline deadline)
    {
        if (const char* reason = wait(POLLOUT, deadline))
            return reason;
        const int error = pendingError(m_socket);
        return error == 0 ? nullptr : std::strerror(error);
    }

    const char* sendAll(std::string_view bytes, Deadline deadline)
    {
        while (!bytes.empty()) {
            const ssize_t count = ::send(m_socket.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
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

    // Waits for bytes and replaces the buffer's content with them. Sets isClosed at the end of the stream.
    const char* receive(std::string& buffer, bool& isClosed, Deadline deadline)
    {
        if (const char* reason = wait(POLLIN, deadline))
            return reason;
        std::array<char, readBufferBytes> bytes;
        const ssize_t count = ::recv(m_socket.value(), bytes.data(), bytes.size(), 0);
        if (count < 0)
            return errno == EAGAIN || errno == EINTR ? nullptr : std::strerror(errno);
        isClosed = count == 0;
        buffer.assign(bytes.data(), static_cast<size_t>(count));
        return nullptr;
    }

    // Returns true when the server has closed the idle connection or sent unsolicited bytes.
    bool isStale() const
    {
        pollfd entry { .fd = m_socket.value(), .events = POLLIN };
        return poll(&entry, 1, 0) != 0;
    }

private:
    const char* wait(short events, Deadline deadline)
    {
        std::array<pollfd, 2> entries { pollfd { .fd = m_socket.value(), .events = events },
            pollfd { .fd = m_interrupt.value(), .events = POLLIN } };
        const int readyCount = poll(entries.data(), entries.size(), millisecondsUntil(deadline));
        if (entries[1].revents != 0)
            return "the request was interrupted";
        if (readyCount < 0 && errno != EINTR)
            return std::strerror(errno);
        return readyCount == 0 ? "timed out while waiting for the server" : nullptr;
    }

    const FileDescriptor m_socket;
    const FileDescriptor& m_interrupt;
};

BlockingHttpClient::BlockingHttpClient(BlockingHttpClientOptions options)
    : m_options(std::move(options))
    , m_interrupt(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (!m_interrupt)
        throw Error({ .step = "start-http-client", .message = std::strerror(errno) });
}

BlockingHttpClient::~BlockingHttpClient() = default;

void BlockingHttpClient::interrupt() const
{
    const uint64_t one = 1;
    // write() fails only when the counter is full, and then the descriptor is readable already.
    [[maybe_unused]] const ssize_t count = ::write(m_interrupt.value(), &one, sizeof(one));
}

void BlockingHttpClient::fail(const std::string& message) const
{
    throw Error({ .step = "http-get", .peer = m_options.server.toString(), .message = message });
}

void BlockingHttpClient::connect()
{
    auto socket = std::make_unique<Socket>(m_options.server, m_interrupt);
    const Deadline deadline = std::chrono::steady_clock::now() + m_options.connectTimeout;
    if (const char* reason = socket->awaitConnect(deadline))
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
    std::optional<TimePoint> firstByteTime;
    Deadline deadline = firstByteDeadline;
    while (!isClosed) {
        bytes.clear();
        if (const char* reason = m_socket->receive(bytes, isClosed, deadline))
            fail(reason);
        const TimePoint now = std::chrono::steady_clock::now();
        if (!firstByteTime)
            firstByteTime = now;
        deadline = now + m_options.progressTimeout;
        m_parser->append(bytes);
        if (auto response = m_parser->next())
            return { .response = std::move(*response), .transferTime = now - *firstByteTime };
    }
    if (auto response = m_parser->finish()) {
        response->keepsAlive = false;
        return { .response = std::move(*response), .transferTime = std::chrono::steady_clock::now() - *firstByteTime };
    }
    fail("the server closed the connection before the response was complete");
}

} // namespace skylark
