// A non-blocking log4cxx appender: a thread writes lines from a bounded buffer to a file descriptor.
//
// One write covers all lines of an interval, so that not every line needs a system call and a thread wake-up.
// If the buffer is full, lines are dropped; the next write reports their number as an event.
#pragma once

#include <chrono>
#include <condition_variable>
#include <log4cxx/appenderskeleton.h>
#include <mutex>
#include <string>
#include <thread>

namespace skylark {

struct BufferedAppenderOptions {
    int descriptor { 1 };
    size_t maxBytes { 256 * 1024 };
    std::chrono::milliseconds interval { 200 };
};

class BufferedAppender final : public log4cxx::AppenderSkeleton {
public:
    BufferedAppender(const log4cxx::LayoutPtr& layout, BufferedAppenderOptions options);
    // Writes the buffered lines and stops the thread.
    ~BufferedAppender() override;

    void close() override;
    bool requiresLayout() const override { return true; }
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override;

private:
    void run();
    void write(const std::string& lines) const;

    const log4cxx::LayoutPtr m_layout;
    const BufferedAppenderOptions m_options;
    std::mutex m_mutex;
    std::condition_variable m_wakeup;
    std::string m_buffer;
    uint64_t m_dropped { 0 };
    bool m_isClosing { false };
    std::thread m_thread;
};

} // namespace skylark
