// Non-blocking TCP sockets on numeric IP addresses.
#pragma once

#include "base/Types.h"

#include <chrono>
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

struct KeepAliveOptions {
    // A probe is sent after this long without data, and then once an interval. Both are whole seconds.
    std::chrono::seconds idleTime { 1 };
    std::chrono::seconds interval { 1 };
    // The kernel closes the connection when sent data or a probe is not acknowledged for this long.
    std::chrono::milliseconds unacknowledgedTimeout { 2000 };
};

// Makes the kernel probe the connection, so that one that the path has forgotten ends. Returns false and sets errno if
// the kernel rejects an option.
bool enableKeepAlive(int socket, const KeepAliveOptions& options = {});

} // namespace skylark
