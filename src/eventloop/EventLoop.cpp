#include "eventloop/EventLoop.h"

#include "base/Error.h"

#include <utility>

namespace skylark {

namespace {

    void throwIfFailed(int result, const char* step)
    {
        if (result < 0)
            throw Error({ .step = step, .message = uv_strerror(result) });
    }

    uint64_t toMilliseconds(Duration wait)
    {
        return static_cast<uint64_t>(std::max<int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(wait).count()));
    }

} // namespace

EventLoop::EventLoop(const Clock& clock)
    : m_clock(clock)
    , m_errorLog(clock, LogLevel::Error, "unexpected-error")
{
    throwIfFailed(uv_loop_init(&m_loop), "start-event-loop");
    throwIfFailed(uv_async_init(&m_loop, &m_wakeupHandle,
                      [](uv_async_t* handle) { static_cast<EventLoop*>(handle->data)->runPostedTasks(); }),
        "start-event-loop");
    m_wakeupHandle.data = this;
}

EventLoop::~EventLoop()
{
    uv_close(reinterpret_cast<uv_handle_t*>(&m_wakeupHandle), nullptr);
    // Runs the close callbacks of handles whose owners are destroyed.
    uv_run(&m_loop, UV_RUN_NOWAIT);
    uv_run(&m_loop, UV_RUN_NOWAIT);
    uv_loop_close(&m_loop);
}

void EventLoop::run() { uv_run(&m_loop, UV_RUN_DEFAULT); }

void EventLoop::stop() { uv_stop(&m_loop); }

bool EventLoop::runGuarded(const char* step, const std::function<void()>& callback) noexcept
{
    try {
        callback();
        return true;
    } catch (const std::exception& error) {
        ++m_unexpectedErrors;
        m_errorLog.write({ { "step", step }, { "reason", error.what() } });
        return false;
    }
}

void EventLoop::post(std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_postedTasks.push_back(std::move(task));
    }
    uv_async_send(&m_wakeupHandle);
}

void EventLoop::runPostedTasks()
{
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard lock(m_mutex);
        tasks.swap(m_postedTasks);
    }
    for (const auto& task : tasks)
        runGuarded("posted-task", task);
}

struct Timer::Handle {
    uv_timer_t native {};
    EventLoop* loop { nullptr };
    std::function<void()> callback;

    static void run(uv_timer_t* timer)
    {
        auto& handle = *static_cast<Handle*>(timer->data);
        handle.loop->runGuarded("timer", handle.callback);
    }
};

Timer::Timer(EventLoop& loop, std::function<void()> callback)
    : m_loop(loop)
    , m_handle(new Handle { .loop = &loop, .callback = std::move(callback) })
{
    throwIfFailed(uv_timer_init(loop.native(), &m_handle->native), "start-timer");
    m_handle->native.data = m_handle;
}

Timer::~Timer()
{
    uv_close(reinterpret_cast<uv_handle_t*>(&m_handle->native),
        [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

void Timer::start(Duration wait)
{
    // libuv updates the loop's time only once per iteration. Updating it here makes the wait start now. The loop's time
    // is truncated to whole milliseconds; without the extra millisecond, the timer could fire early.
    uv_update_time(m_loop.native());
    uv_timer_start(&m_handle->native, Handle::run, toMilliseconds(wait) + 1, 0);
}

void Timer::startRepeating(Duration interval)
{
    uv_update_time(m_loop.native());
    uv_timer_start(&m_handle->native, Handle::run, toMilliseconds(interval), toMilliseconds(interval));
}

void Timer::stop() { uv_timer_stop(&m_handle->native); }

bool Timer::isActive() const { return uv_is_active(reinterpret_cast<const uv_handle_t*>(&m_handle->native)) != 0; }

struct SignalWatcher::Handle {
    uv_signal_t native {};
    EventLoop* loop { nullptr };
    std::function<void()> callback;

    static void run(uv_signal_t* signal, int)
    {
        auto& handle = *static_cast<Handle*>(signal->data);
        handle.loop->runGuarded("signal", handle.callback);
    }
};

SignalWatcher::SignalWatcher(EventLoop& loop, int signalNumber, std::function<void()> callback)
    : m_handle(new Handle { .loop = &loop, .callback = std::move(callback) })
{
    throwIfFailed(uv_signal_init(loop.native(), &m_handle->native), "watch-signal");
    m_handle->native.data = m_handle;
    throwIfFailed(uv_signal_start(&m_handle->native, Handle::run, signalNumber), "watch-signal");
}

SignalWatcher::~SignalWatcher()
{
    uv_close(reinterpret_cast<uv_handle_t*>(&m_handle->native),
        [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

} // namespace skylark
