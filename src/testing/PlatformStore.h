// The contents of the stand-in platform: keys with one rising revision, and instance lists that lag.
//
// A decision object: times are passed in and nothing waits. A change gets the next revision and a
// notification at that revision; a watch gives the notifications after a revision. Faults change what readers see:
// isStale answers from the state at the time it was set, and crossUpdates delivers the notifications of two
// successive changes in the other order, the first one under a later store revision.
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
    // Bounds that only a fault of the user reaches; put() and setInstance() throw there.
    static constexpr size_t maxKeys = 100'000;
    static constexpr size_t maxInstances = 40'000;

    struct Entry {
        std::shared_ptr<const std::string> value;
        Revision revision;
    };

    // Throws Error for a value that is too large.
    Revision put(const std::string& key, std::string value, TimePoint now);
    Revision remove(const std::string& key, TimePoint now);

    // What readers see.
    Revision revision() const { return visible().revision; }
    // Null when the key is absent.
    const Entry* find(const std::string& key) const;
    // Ordered by notification; after revision 0 all existing keys.
    std::vector<ChangedKey> changesAfter(const std::string& prefix, Revision after) const;

    // An instance change appears in its zone's list after the lag.
    void setInstance(const InstanceRecord& record, TimePoint now);
    // False when the instance is not known.
    bool removeInstance(const InstanceId& id, TimePoint now);
    void setListLag(Duration lag) { m_listLag = lag; }
    void setStale(bool isStale);
    void setCrossUpdates(bool areCrossed, TimePoint now);
    // Publishes the lists that are due and the notifications that are held back too long.
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
        // The last notification of each key, by the store revision at which it was given.
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
    void addNotification(ChangeNotification notification, Revision at);
    void releaseDelayedNotification();
    void queueChange(InstanceChange change, TimePoint now);

    State m_state;
    std::shared_ptr<const State> m_staleState;
    bool m_areUpdatesCrossed { false };
    std::shared_ptr<const ChangeNotification> m_delayedNotification;
    TimePoint m_delayedSince;
    Duration m_listLag { std::chrono::milliseconds(500) };
    // Instances as registered, and as the published lists have them.
    std::map<InstanceId, InstanceRecord> m_registered;
    std::map<ZoneName, std::map<InstanceId, InstanceRecord>> m_listed;
    std::deque<InstanceChange> m_pendingChanges;
};

} // namespace skylark
