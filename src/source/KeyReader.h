// Reads single keys of the source on a thread of its own, which starts with the first request.
//
// One read is in progress at a time; a request during it is ignored. The callback runs on the reader's thread.
#pragma once

#include "base/Clock.h"
#include "source/KeyValueSource.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace skylark {

struct KeyReadResult {
    // Absent if the read failed.
    std::optional<SourceItem> item;
    // The item was current at this time or later.
    TimePoint requestedAt;
};

class KeyReader {
public:
    using Callback = std::function<void(const KeyReadResult&)>;

    // The source and the clock must outlive the reader.
    KeyReader(KeyValueSource& source, const Clock& clock, Callback onResult);
    // Interrupts a blocked read and joins the thread.
    ~KeyReader();
    KeyReader(const KeyReader&) = delete;
    KeyReader& operator=(const KeyReader&) = delete;

    void request(std::string key);

private:
    void run();
    KeyReadResult read(const std::string& key);

    KeyValueSource& m_source;
    const Clock& m_clock;
    const Callback m_onResult;
    std::mutex m_mutex;
    std::condition_variable m_wakeup;
    std::optional<std::string> m_requestedKey;
    bool m_isStopping { false };
    std::thread m_thread;
};

} // namespace skylark
