// A TCP connection for tests that send bytes which an HTTP client would not send.
#pragma once

#include "base/Types.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace skylark {

class RawConnection {
public:
    explicit RawConnection(uint16_t port)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    }
    RawConnection(RawConnection&& other) noexcept
        : m_socket(std::exchange(other.m_socket, -1))
    {
    }
    RawConnection& operator=(RawConnection&&) = delete;
    ~RawConnection()
    {
        if (m_socket >= 0)
            ::close(m_socket);
    }

    // Returns false once the peer has closed the connection.
    bool write(const std::string& bytes)
    {
        return ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }

    // Reads until the peer closes the connection or nothing arrives for idleTimeout.
    std::string readToEnd(Duration idleTimeout)
    {
        const int waitMs = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(idleTimeout).count());
        std::string text;
        char buffer[4096];
        while (true) {
            pollfd entry { .fd = m_socket, .events = POLLIN, .revents = 0 };
            if (::poll(&entry, 1, waitMs) <= 0)
                return text;
            const ssize_t count = ::recv(m_socket, buffer, sizeof(buffer), 0);
            if (count <= 0)
                return text;
            text.append(buffer, static_cast<size_t>(count));
        }
    }

private:
    int m_socket;
};

} // namespace skylark
