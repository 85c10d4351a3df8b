// The contents of the stand-in platform: keys with one increasing revision, and instance lists that are published with
// a lag.
//
// The class has no clock or threads: callers pass the time in. Each change gets the next revision and a notification at
// that revision, and a watch returns the notifications after a given revision. Two faults change what readers see:
// - isStale: readers see the state at the time the fault was set.
// - crossUpdates: the notifications of two successive changes arrive in reverse order, the first change's with a later
//   store revision.
#pragma once

#include "membership/MembershipView.h"
#include "source/PlatformClient.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace skylark {

class PlatformStore {
public:
    static constexpr size_t maxValueBytes = 1 << 20;
    // Limits that only a test error exceeds. put() and setInstance() throw Error there.
    static constexpr size_t maxKeys = 100'000;
    static constexpr size_t maxInstances = 40'000;

    struct Entry {
        std::shared_ptr<const std::string> value;
        Revision revision;
    };

    // Throws Error if the value or the number of keys exceeds its limit.
    Revision put(const std::string& key, std::string value, TimePoint now);
    Revision remove(const std::string& key, TimePoint now);

    // The state that readers see.
    Revision revision() const { return visible().revision; }
    // Returns null if the key is missing.
    const Entry* find(const std::string& key) const;
    // Returns the changes after a store revision, ordered by the revision of their notifications. For revision 0,
    // returns all existing keys.
    std::vector<ChangedKey> changesAfter(const std::string& prefix, Revision after) const;

    // The change appears in the list of the instance's zone after the lag.
    void setInstance(const InstanceRecord& record, TimePoint now);
    // Returns false if the instance is not registered.
    bool removeInstance(const InstanceId& id, TimePoint now);
    void setListLag(Duration lag) { m_listLag = lag; }
    void setStale(bool isStale);
    void setCrossUpdates(bool areCrossed, TimePoint now);
    // Publishes the instance lists that are due and a notification whose delay has ended.
    void advance(TimePoint now);

private:
    struct ChangeNotification {
        std::string key;
        Revision keyRevision;
        bool isDeleted { false };
    };
    struct State {
        Revision revision;
        std::map<std::string, Entry> keys;
        // The last notification of each key, by the store revision at which it was sent.
        std::map<Revision, ChangeNotification> notifications;
        std::map<std::string, Revision> notificationOfKey;
    };
    struct InstanceChange {
        TimePoint due;
        InstanceRecord record;
        bool isRemoval { false };
    };

    const State& visible() const { return m_staleState ? *m_staleState : m_state; }
    void notify(ChangeNotification notification, TimePoint now);
    void addNotification(ChangeNotification notification, Revision storeRevision);
    void releaseDelayedNotification();
    void queueChange(InstanceChange change, TimePoint now);

    State m_state;
    std::shared_ptr<const State> m_staleState;
    bool m_areUpdatesCrossed { false };
    std::shared_ptr<const ChangeNotification> m_delayedNotification;
    TimePoint m_delayedSince;
    Duration m_listLag { std::chrono::milliseconds(500) };
    // The registered instances, and the instances of each published list.
    std::map<InstanceId, InstanceRecord> m_registeredInstances;
    std::map<ZoneName, std::map<InstanceId, InstanceRecord>> m_listedInstances;
    std::deque<InstanceChange> m_pendingChanges;
};

} // namespace skylark
