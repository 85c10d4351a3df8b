#include "base/Socket.h"

#include "base/Error.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <memory>
#include <netdb.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylark {

namespace {

    constexpr int listenBacklog = 1024;

    [[noreturn]] void fail(const char* step, const Endpoint& endpoint, const std::string& message)
    {
        throw Error({ .step = step, .peer = endpoint.toString(), .message = message });
    }

    using AddressList = std::unique_ptr<addrinfo, decltype(&freeaddrinfo)>;

    AddressList numericAddress(const char* step, const Endpoint& endpoint)
    {
        addrinfo hints {};
        hints.ai_socktype = SOCK_STREAM;
        // Host names are not resolved, since a slow name server would block the calling thread.
        hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
        addrinfo* list = nullptr;
        const int code = getaddrinfo(endpoint.host.c_str(), std::to_string(endpoint.port).c_str(), &hints, &list);
        if (code != 0)
            fail(step, endpoint, std::string("the address is not numeric: ") + gai_strerror(code));
        return { list, &freeaddrinfo };
    }

    bool setOption(int socket, int level, int option, int value)
    {
        return setsockopt(socket, level, option, &value, sizeof(value)) == 0;
    }

    void enableOption(int socket, int level, int option) { setOption(socket, level, option, 1); }

} // namespace

void FileDescriptor::reset()
{
    if (m_fd >= 0)
        ::close(std::exchange(m_fd, -1));
}

FileDescriptor listenOn(const Endpoint& endpoint)
{
    const AddressList address = numericAddress("listen", endpoint);
    FileDescriptor socket(::socket(address->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket)
        fail("listen", endpoint, std::string("cannot create a socket: ") + std::strerror(errno));
    enableOption(socket.value(), SOL_SOCKET, SO_REUSEADDR);
    if (::bind(socket.value(), address->ai_addr, address->ai_addrlen) != 0
        || ::listen(socket.value(), listenBacklog) != 0)
        fail("listen", endpoint, std::string("cannot listen on this address: ") + std::strerror(errno));
    return socket;
}

Endpoint boundEndpoint(const FileDescriptor& socket)
{
    sockaddr_storage address {};
    socklen_t size = sizeof(address);
    char host[NI_MAXHOST] = "";
    char port[NI_MAXSERV] = "0";
    if (getsockname(socket.value(), reinterpret_cast<sockaddr*>(&address), &size) == 0) {
        getnameinfo(reinterpret_cast<sockaddr*>(&address), size, host, sizeof(host), port, sizeof(port),
            NI_NUMERICHOST | NI_NUMERICSERV);
    }
    return Endpoint::fromString(std::string(host) + ":" + port);
}

FileDescriptor acceptFrom(const FileDescriptor& listener)
{
    FileDescriptor socket(::accept4(listener.value(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket)
        enableOption(socket.value(), IPPROTO_TCP, TCP_NODELAY);
    return socket;
}

FileDescriptor startConnect(const Endpoint& endpoint)
{
    const AddressList address = numericAddress("connect", endpoint);
    FileDescriptor socket(::socket(address->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket)
        fail("connect", endpoint, std::string("cannot create a socket: ") + std::strerror(errno));
    enableOption(socket.value(), IPPROTO_TCP, TCP_NODELAY);
    if (::connect(socket.value(), address->ai_addr, address->ai_addrlen) != 0 && errno != EINPROGRESS)
        fail("connect", endpoint, std::string("cannot connect: ") + std::strerror(errno));
    return socket;
}

int pendingError(const FileDescriptor& socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    if (getsockopt(socket.value(), SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        return errno;
    return error;
}

bool enableKeepAlive(int socket, const KeepAliveOptions& options)
{
    return setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1)
        && setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(options.idleTime.count()))
        && setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(options.interval.count()))
        && setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(options.unacknowledgedTimeout.count()));
}

} // namespace skylark
