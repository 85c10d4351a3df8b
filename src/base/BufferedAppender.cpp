#include "base/BufferedAppender.h"

#include <algorithm>
#include <cerrno>
#include <log4cxx/layout.h>
#include <unistd.h>
#include <utility>

namespace skylark {

BufferedAppender::BufferedAppender(const log4cxx::LayoutPtr& layout, BufferedAppenderOptions options)
    : m_layout(layout)
    , m_options(options)
    , m_thread([this] { run(); })
{
}

BufferedAppender::~BufferedAppender() { BufferedAppender::close(); }

void BufferedAppender::close()
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_isClosing, true))
            return;
    }
    m_wakeup.notify_all();
    m_thread.join();
}

void BufferedAppender::append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool)
{
    log4cxx::LogString line;
    m_layout->format(line, event, pool);
    const std::lock_guard lock(m_mutex);
    if (m_buffer.size() + line.size() > m_options.maxBytes) {
        ++m_dropped;
        return;
    }
    const bool wasEmpty = m_buffer.empty();
    m_buffer += line;
    if (wasEmpty)
        m_wakeup.notify_all();
}

void BufferedAppender::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wakeup.wait(lock, [this] { return m_isClosing || !m_buffer.empty(); });
        m_wakeup.wait_for(lock, m_options.interval, [this] { return m_isClosing; });
        std::string lines = std::exchange(m_buffer, {});
        if (const uint64_t dropped = std::exchange(m_dropped, 0))
            lines += "{\"event\":\"log-lines-dropped\",\"count\":\"" + std::to_string(dropped) + "\"}\n";
        const bool isLast = m_isClosing;
        lock.unlock();
        write(lines);
        if (isLast)
            return;
        lock.lock();
    }
}

void BufferedAppender::write(const std::string& lines) const
{
    size_t written = 0;
    while (written < lines.size()) {
        const ssize_t count = ::write(m_options.descriptor, lines.data() + written, lines.size() - written);
        // The log cannot be written any more, and there is no other output to report this to.
        if (count < 0 && errno != EINTR)
            return;
        written += static_cast<size_t>(std::max<ssize_t>(0, count));
    }
}

} // namespace skylark
