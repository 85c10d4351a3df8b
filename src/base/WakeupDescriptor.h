// A descriptor that a thread polls beside its sockets, so that another thread can end its wait.
//
// notify() makes it readable, and it stays readable: a wait that begins later ends immediately, too.
#pragma once

#include "base/Socket.h"

namespace skylark {

class WakeupDescriptor {
public:
    // Throws Error with this step if no descriptor is left.
    explicit WakeupDescriptor(const char* step);

    // May be called from any thread.
    void notify() const;
    const FileDescriptor& descriptor() const { return m_descriptor; }

private:
    const FileDescriptor m_descriptor;
};

} // namespace skylark
