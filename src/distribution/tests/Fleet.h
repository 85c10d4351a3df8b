// A few Distributor objects joined by an in-memory queue of messages, with faults, and a stand-in for the
// configuration source. Time is simulated. For the tests of this folder only.
#pragma once

#include "distribution/Distributor.h"

#include <map>
#include <memory>
#include <set>

namespace skylark {

// A text is any string; one that contains "bad" makes the version invalid. The routes' names are the texts,
// so that a test sees exactly which texts a configuration was built from.
std::variant<std::shared_ptr<const Configuration>, ValidationErrors> buildForTest(
    const Manifest& manifest, const std::vector<SectionText>& texts);
std::string manifestText(const Manifest& manifest);
Manifest parseManifestText(std::string_view text);
// Names each text's section and digests it.
Manifest manifestOf(uint64_t version, uint64_t revision, const std::map<std::string, std::string>& texts);
std::vector<SectionText> textsOf(const std::map<std::string, std::string>& texts);
DistributorOptions optionsForTest(const InstanceRecord& self);
InstanceRecord recordForTest(const std::string& zone, size_t index);

// The values that the source holds, at its newest revision.
struct SourceState {
    Revision revision;
    std::map<std::string, ReadResponse> values;
    void put(const std::string& key, const std::string& value);
};

class Fleet {
public:
    struct Node {
        InstanceRecord record;
        std::unique_ptr<Distributor> distributor;
        bool isPaused { false };
        // Nodes of different groups cannot reach each other; the source is in group 0.
        int group { 0 };
        // Counts starts; events for an earlier process are dropped.
        uint64_t generation { 0 };
        VersionOrder applied;
        bool hasServed { false };
        // Arrived during a pause.
        std::vector<std::function<void()>> buffered;
        std::vector<std::string> events;
        size_t publishedViews { 0 };
    };
    enum class SourceFault { None, Silent, Refusing, Stale };

    Fleet(size_t zones, size_t nodesPerZone, uint64_t seed, bool hasSeeds);

    void run(Duration duration);
    // Runs until the condition holds; the time this took, or nothing if the limit came first.
    std::optional<Duration> runUntil(const std::function<bool()>& condition, Duration limit);

    // Accepts the next version with some sections changed.
    void publishVersion(bool isInvalid = false);
    void start(size_t node);
    void kill(size_t node);
    void pause(size_t node) { nodes[node].isPaused = true; }
    void resume(size_t node);
    // Publishes each zone's list with the nodes that live now.
    void publishLists();
    void setSourceFault(SourceFault fault);

    bool isAlive(size_t node) const { return nodes[node].distributor != nullptr; }
    bool holdsNewest(size_t node) const;
    bool isAnyNewest() const;
    bool isConverged() const;
    bool haveEqualLists() const;
    size_t count(const std::string& event) const;
    // One line for each node, for the message of a failed check.
    std::string describe() const;

    std::vector<Node> nodes;
    SourceState source;
    uint64_t newestValid { 0 };
    uint64_t version { 0 };
    double lossProbability { 0 };
    double duplicateProbability { 0 };
    Duration maxDelay { std::chrono::milliseconds(5) };
    TimePoint now { std::chrono::hours(1) };
    Random random;
    size_t reads { 0 };
    size_t watches { 0 };
    // By message type name, for tests that count messages.
    std::map<size_t, size_t> sentByType;
    // Sees each message as it is sent; false drops it.
    std::function<bool(size_t from, size_t to, const Message&)> filter;

private:
    struct PendingWatch {
        size_t node;
        uint64_t generation;
        Watch watch;
        TimePoint deadline;
    };
    void schedule(Duration delay, std::function<void()> event);
    // Calls the node's distributor now, or after its pause; not if the process has ended since.
    void deliver(size_t node, uint64_t generation, std::function<Actions(Distributor&)> call);
    void execute(size_t node, const Actions& actions);
    void executeSend(size_t node, const Send& send);
    void executeWatch(size_t node, const Watch& watch);
    void executeRead(size_t node, const ReadKey& read);
    void executePublish(size_t node, const Configuration& configuration);
    void tickAll();
    void completeWatches();
    bool isSourceReachable(size_t node) const;
    const SourceState& visibleSource() const { return m_fault == SourceFault::Stale ? m_stale : source; }
    WatchResponse changesAfter(Revision after) const;

    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::vector<PendingWatch> m_pendingWatches;
    std::map<std::string, std::string> m_texts;
    // By version number: the texts that a configuration of that version must have.
    std::map<uint64_t, std::map<std::string, std::string>> m_publishedTexts;
    SourceFault m_fault { SourceFault::None };
    SourceState m_stale;
    std::vector<size_t> m_seeds;
    TimePoint m_nextTick;
};

} // namespace skylark
