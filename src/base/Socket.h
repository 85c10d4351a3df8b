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

// Throws Error when the address is not numeric or cannot be bound.
FileDescriptor listenOn(const Endpoint& endpoint);
// The address that a socket is bound to.
Endpoint boundEndpoint(const FileDescriptor& socket);
// Invalid when no connection waits; errno tells.
FileDescriptor acceptFrom(const FileDescriptor& listener);
// Starts to connect; the socket becomes writable when it is connected. Throws Error.
FileDescriptor startConnect(const Endpoint& endpoint);
// Zero once a connect that was started has succeeded, or the errno of its failure.
int pendingError(const FileDescriptor& socket);

} // namespace skylark
