#include "http/BlockingSocket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace skylark {

namespace {

    constexpr size_t readBufferBytes = 16 * 1024;

    int millisecondsUntil(BlockingSocket::Deadline deadline)
    {
        const auto remaining
            = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        return static_cast<int>(std::max<int64_t>(0, remaining.count()));
    }

} // namespace

BlockingSocket::BlockingSocket(const Endpoint& server, const FileDescriptor& interrupt)
    : m_socket(startConnect(server))
    , m_interrupt(&interrupt)
{
}

const char* BlockingSocket::awaitConnect(Deadline deadline)
{
    if (const char* reason = wait(POLLOUT, deadline))
        return reason;
    const int error = pendingError(m_socket);
    return error == 0 ? nullptr : std::strerror(error);
}

const char* BlockingSocket::sendAll(std::string_view bytes, Deadline deadline)
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

const char* BlockingSocket::receive(std::string& buffer, bool& isClosed, Deadline deadline)
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

bool BlockingSocket::isStale() const
{
    pollfd entry { .fd = m_socket.value(), .events = POLLIN };
    return poll(&entry, 1, 0) != 0;
}

const char* BlockingSocket::wait(short events, Deadline deadline)
{
    std::array<pollfd, 2> entries { pollfd { .fd = m_socket.value(), .events = events },
        pollfd { .fd = m_interrupt->value(), .events = POLLIN } };
    const int readyCount = poll(entries.data(), entries.size(), millisecondsUntil(deadline));
    if (entries[1].revents != 0)
        return "the request was interrupted";
    if (readyCount < 0 && errno != EINTR)
        return std::strerror(errno);
    return readyCount == 0 ? "timed out while waiting for the server" : nullptr;
}

} // namespace skylark
