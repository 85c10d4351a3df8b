// Non-blocking TCP sockets on numeric IP addresses.
#pragma once

#include "base/Types.h"

#include <string>
#include <utility>

namespace skylark {

class FileDescriptor {
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int fd)
        : m_fd(fd)
    {
    }
    FileDescriptor(FileDescriptor&& other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    FileDescriptor& operator=(FileDescriptor&& other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    ~FileDescriptor() { reset(); }

    int value() const { return m_fd; }
    explicit operator bool() const { return m_fd >= 0; }
    void reset();

private:
    int m_fd { -1 };
};

// Throws Error if the address is not numeric or cannot be bound.
FileDescriptor listenOn(const Endpoint& endpoint);
// Returns the local address of a socket.
Endpoint boundEndpoint(const FileDescriptor& socket);
// Returns an invalid descriptor and sets errno if no connection is pending.
FileDescriptor acceptFrom(const FileDescriptor& listener);
// Starts a connection; the socket becomes writable once it is connected or has failed. Throws Error.
FileDescriptor startConnect(const Endpoint& endpoint);
// Returns the pending error of a socket (SO_ERROR), or 0. For a finished startConnect(), 0 means success.
int pendingError(const FileDescriptor& socket);

} // namespace skylark
