#include "base/WakeupDescriptor.h"

#include "base/Error.h"

#include <cerrno>
#include <cstring>
#include <sys/eventfd.h>
#include <unistd.h>

namespace skylark {

WakeupDescriptor::WakeupDescriptor(const char* step)
    : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (!m_descriptor)
        throw Error({ .step = step, .message = std::string("eventfd: ") + std::strerror(errno) });
}

void WakeupDescriptor::notify() const
{
    const uint64_t one = 1;
    // write() fails only when the counter is full, and then the descriptor is readable already.
    [[maybe_unused]] const ssize_t count = ::write(m_descriptor.value(), &one, sizeof(one));
}

} // namespace skylark
