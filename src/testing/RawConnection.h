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
    // A receive buffer of 0 bytes means the default size.
    explicit RawConnection(const Endpoint& peer, int receiveBufferBytes = 0)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receiveBufferBytes > 0)
            ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(peer.port);
        ::inet_pton(AF_INET, peer.host.c_str(), &address.sin_addr);
        ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    }
    explicit RawConnection(uint16_t port)
        : RawConnection(Endpoint { "127.0.0.1", port })
    {
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
        char buffer[65536];
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

    // Reads one response with a length. Returns what has arrived if the peer closes or nothing arrives for idleTimeout.
    std::string readResponse(Duration idleTimeout)
    {
        const int waitMs = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(idleTimeout).count());
        const std::string lengthName = "Content-Length: ";
        std::string text;
        char byte = 0;
        size_t wantedBytes = SIZE_MAX;
        while (text.size() < wantedBytes) {
            pollfd entry { .fd = m_socket, .events = POLLIN, .revents = 0 };
            if (::poll(&entry, 1, waitMs) <= 0 || ::recv(m_socket, &byte, 1, 0) <= 0)
                return text;
            text += byte;
            if (wantedBytes == SIZE_MAX && text.ends_with("\r\n\r\n")) {
                const size_t length = text.find(lengthName);
                wantedBytes = text.size();
                if (length != std::string::npos)
                    wantedBytes += std::stoul(text.substr(length + lengthName.size()));
            }
        }
        return text;
    }

private:
    int m_socket;
};

} // namespace skylark
