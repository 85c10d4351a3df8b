#include "source/KeyReader.h"

#include "base/Log.h"

namespace skylark {

KeyReader::KeyReader(KeyValueSource& source, const Clock& clock, Callback onResult)
    : m_source(source)
    , m_clock(clock)
    , m_onResult(std::move(onResult))
{
}

KeyReader::~KeyReader()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeup.notify_all();
    m_source.interrupt();
    if (m_thread.joinable())
        m_thread.join();
}

void KeyReader::request(std::string key)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_requestedKey)
            return;
        m_requestedKey = std::move(key);
    }
    if (!m_thread.joinable())
        m_thread = std::thread([this] { run(); });
    m_wakeup.notify_all();
}

void KeyReader::run()
{
    while (true) {
        std::string key;
        {
            std::unique_lock lock(m_mutex);
            m_wakeup.wait(lock, [this] { return m_isStopping || m_requestedKey; });
            if (m_isStopping)
                return;
            key = *m_requestedKey;
        }
        const KeyReadResult result = read(key);
        {
            const std::lock_guard lock(m_mutex);
            m_requestedKey.reset();
        }
        m_onResult(result);
    }
}

KeyReadResult KeyReader::read(const std::string& key)
{
    KeyReadResult result { .requestedAt = m_clock.now() };
    try {
        result.item = m_source.read(key);
    } catch (const Error& error) {
        logEvent(LogLevel::Warning, "source-call-failed",
            { { "call", "read" }, { "ms", millisecondsText(m_clock.now() - result.requestedAt) },
                { "reason", error.what() } });
    }
    return result;
}

} // namespace skylark
