#include "base/WakeupDescriptor.h"

#include <gtest/gtest.h>
#include <poll.h>

namespace skylark {
namespace {

    bool isReadable(const WakeupDescriptor& wakeup)
    {
        pollfd entry { .fd = wakeup.descriptor().value(), .events = POLLIN };
        return poll(&entry, 1, 0) == 1;
    }

    // Guards against a wait that begins after the notification and never ends.
    TEST(WakeupDescriptorTest, StaysReadableAfterANotification)
    {
        const WakeupDescriptor wakeup("test");
        EXPECT_FALSE(isReadable(wakeup));
        wakeup.notify();
        EXPECT_TRUE(isReadable(wakeup));
        EXPECT_TRUE(isReadable(wakeup));
        wakeup.notify();
        EXPECT_TRUE(isReadable(wakeup));
    }

} // namespace
} // namespace skylark
