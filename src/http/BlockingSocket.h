// A TCP connection whose calls block, until a deadline or until an interrupt descriptor becomes readable.
#pragma once

#include "base/Socket.h"

#include <chrono>
#include <string>
#include <string_view>

namespace skylark {

class BlockingSocket {
public:
    using Deadline = std::chrono::steady_clock::time_point;

    // Starts to connect. Throws Error when that fails immediately. The interrupt descriptor must outlive the socket or
    // its replacement.
    BlockingSocket(const Endpoint& server, const FileDescriptor& interrupt);

    void setInterrupt(const FileDescriptor& interrupt) { m_interrupt = &interrupt; }

    // These return null on success and a description of the error otherwise.
    const char* awaitConnect(Deadline deadline);
    const char* sendAll(std::string_view bytes, Deadline deadline);
    // Waits for bytes and replaces the buffer's content with them. Sets isClosed at the end of the stream.
    const char* receive(std::string& buffer, bool& isClosed, Deadline deadline);

    // Returns true when the server has closed the idle connection or sent unsolicited bytes.
    bool isStale() const;

private:
    const char* wait(short events, Deadline deadline);

    const FileDescriptor m_socket;
    const FileDescriptor* m_interrupt;
};

} // namespace skylark
