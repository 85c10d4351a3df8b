// The event loop of one thread for sockets and timers, based on libuv.
//
// - All objects belong to the loop's thread. Only post() may be called from other threads.
// - Destroying a Timer, TcpStream or TcpListener closes it immediately: no callback follows, even if its own callback
//   destroys it. The loop frees the libuv handle afterwards.
// - An exception that leaves a callback is logged and counted, and the loop goes on. A stream whose handler threw ends
//   as Failed. An exception must not pass through libuv, and one bad message must not end the process.
#pragma once

#include "base/Clock.h"
#include "base/Log.h"

#include <functional>
#include <mutex>
#include <uv.h>
#include <vector>

namespace skylark {

class EventLoop {
public:
    explicit EventLoop(const Clock& clock);
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Runs until stop() is called. Callbacks run on the calling thread.
    void run();
    void stop();
    // Runs the task on the loop's thread. May be called from any thread.
    void post(std::function<void()> task);

    TimePoint now() const { return m_clock.now(); }
    const Clock& clock() const { return m_clock; }
    uv_loop_t* native() { return &m_loop; }

    // Runs a callback. Logs and counts an exception that leaves it, and returns false in that case.
    bool runGuarded(const char* step, const std::function<void()>& callback) noexcept;
    // Exceptions that left a callback since the loop was created.
    uint64_t unexpectedErrors() const { return m_unexpectedErrors; }

    // Streams that TcpStream::closeAfterFlush() has not closed yet. Their data is lost if the process exits.
    size_t pendingCloses() const { return m_pendingCloses; }

private:
    friend class TcpStream;
    void runPostedTasks();

    const Clock& m_clock;
    RateLimitedLog m_errorLog;
    uint64_t m_unexpectedErrors { 0 };
    size_t m_pendingCloses { 0 };
    uv_loop_t m_loop {};
    uv_async_t m_wakeupHandle {};
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_postedTasks;
};

class Timer {
public:
    Timer(EventLoop& loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    // Replaces the previous schedule. Durations are rounded up to whole milliseconds.
    void start(Duration wait);
    void startRepeating(Duration interval);
    void stop();
    bool isActive() const;

private:
    struct Handle;
    EventLoop& m_loop;
    Handle* m_handle;
};

// Calls the callback on the loop's thread at each delivery of the signal.
class SignalWatcher {
public:
    SignalWatcher(EventLoop& loop, int signalNumber, std::function<void()> callback);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher&) = delete;
    SignalWatcher& operator=(const SignalWatcher&) = delete;

private:
    struct Handle;
    Handle* m_handle;
};

} // namespace skylark
