// An RCU-protected pointer to an immutable value that is read often and replaced rarely.
//
// load() never blocks: it copies the shared_ptr inside a read-side critical section of liburcu's "bulletproof"
// flavor, which registers threads automatically. store() swaps the pointer, waits for a grace period and releases
// the old value, so that at most one superseded value stays alive besides those that readers hold. Do not call
// store() on the request path, since it waits for readers.
#pragma once

#include <atomic>
#include <memory>
#include <urcu/urcu-bp.h>

#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void*);
extern "C" void __tsan_release(void*);
#endif

namespace skylark {

template <typename T> class RcuCell {
public:
    RcuCell() = default;
    explicit RcuCell(std::shared_ptr<const T> value)
        : m_holder(new Holder { std::move(value) })
    {
    }
    RcuCell(const RcuCell&) = delete;
    RcuCell& operator=(const RcuCell&) = delete;
    ~RcuCell() { delete m_holder.load(); }

    // Returns null before the first store().
    std::shared_ptr<const T> load() const
    {
        urcu_bp_read_lock();
        const Holder* holder = m_holder.load(std::memory_order_acquire);
        std::shared_ptr<const T> value = holder ? holder->value : nullptr;
        annotateRelease();
        urcu_bp_read_unlock();
        return value;
    }

    void store(std::shared_ptr<const T> value)
    {
        const Holder* old = m_holder.exchange(new Holder { std::move(value) }, std::memory_order_acq_rel);
        urcu_bp_synchronize_rcu();
        annotateAcquire();
        delete old;
    }

private:
    struct Holder {
        std::shared_ptr<const T> value;
    };

    // ThreadSanitizer cannot see the ordering that liburcu guarantees, so these functions annotate it.
    void annotateRelease() const
    {
#if defined(__SANITIZE_THREAD__)
        __tsan_release(const_cast<std::atomic<const Holder*>*>(&m_holder));
#endif
    }
    void annotateAcquire() const
    {
#if defined(__SANITIZE_THREAD__)
        __tsan_acquire(const_cast<std::atomic<const Holder*>*>(&m_holder));
#endif
    }

    std::atomic<const Holder*> m_holder { nullptr };
};

} // namespace skylark
