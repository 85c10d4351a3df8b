// Test fixture: Distributor objects connected by an in-memory message queue with fault injection, and a stand-in for
// the configuration source. Time is simulated.
#pragma once

#include "distribution/Distributor.h"

#include <map>
#include <memory>
#include <set>

namespace skylark {

// Accepts any string as a text, except that one with "bad" in it makes the version invalid. The texts become the names
// of the routes, so that a test can check from which texts a configuration was built.
std::variant<std::shared_ptr<const Configuration>, ValidationErrors> buildForTest(
    const Manifest& manifest, const std::vector<SectionText>& texts);
std::string manifestText(const Manifest& manifest);
Manifest parseManifestText(std::string_view text);
// Builds a manifest with the digest of each text, keyed by section name.
Manifest manifestOf(uint64_t version, uint64_t revision, const std::map<std::string, std::string>& texts);
std::vector<SectionText> textsOf(const std::map<std::string, std::string>& texts);
DistributorOptions optionsForTest(const InstanceRecord& self);
InstanceRecord recordForTest(const std::string& zone, size_t index);

// The keys and values of the source at its newest revision.
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
        // Number of starts; events for an earlier process are dropped.
        uint64_t generation { 0 };
        VersionOrder appliedOrder;
        bool hasServed { false };
        // Events that arrived during a pause.
        std::vector<std::function<void()>> bufferedEvents;
        std::vector<std::string> events;
        size_t publishedViews { 0 };
    };
    enum class SourceFault { None, Silent, Refusing, Stale };

    Fleet(size_t zones, size_t nodesPerZone, uint64_t seed, bool hasSeedPeers);

    void run(Duration duration);
    // Runs until the condition holds. Returns the elapsed time, or nothing if the limit was reached first.
    std::optional<Duration> runUntil(const std::function<bool()>& condition, Duration limit);

    // Publishes the next version with some sections changed.
    void publishVersion(bool isInvalid = false);
    void start(size_t node);
    void kill(size_t node);
    void pause(size_t node) { nodes[node].isPaused = true; }
    void resume(size_t node);
    // Publishes each zone's list of running nodes.
    void publishLists();
    void setSourceFault(SourceFault fault);

    bool isRunning(size_t node) const { return nodes[node].distributor != nullptr; }
    bool holdsNewest(size_t node) const;
    bool anyNodeHoldsNewest() const;
    bool isConverged() const;
    bool haveEqualLists() const;
    size_t count(const std::string& event) const;
    // Returns one line for each node, for the message of a failed assertion.
    std::string describe() const;

    std::vector<Node> nodes;
    SourceState source;
    uint64_t newestValidVersion { 0 };
    uint64_t version { 0 };
    double lossProbability { 0 };
    double duplicateProbability { 0 };
    Duration maxDelay { std::chrono::milliseconds(5) };
    TimePoint now { std::chrono::hours(1) };
    Random random;
    size_t reads { 0 };
    size_t watches { 0 };
    // Keyed by the index of the message type in Message, for tests that count messages.
    std::map<size_t, size_t> sentByType;
    // Called for each message that is sent; false drops the message.
    std::function<bool(size_t from, size_t to, const Message&)> filter;

private:
    struct PendingWatch {
        size_t node;
        uint64_t generation;
        Watch watch;
        TimePoint deadline;
    };
    void schedule(Duration delay, std::function<void()> event);
    // Calls the node's distributor now or after its pause, unless the process has ended since.
    void deliver(size_t node, uint64_t generation, std::function<Actions(Distributor&)> call);
    void execute(size_t node, const Actions& actions);
    void executeSend(size_t node, const Send& send);
    void executeWatch(size_t node, const Watch& watch);
    void executeRead(size_t node, const ReadKey& read);
    void executePublish(size_t node, const Configuration& configuration);
    void tickAll();
    void completeWatches();
    bool isSourceReachable(size_t node) const;
    const SourceState& visibleSource() const { return m_sourceFault == SourceFault::Stale ? m_staleSource : source; }
    WatchResponse changesAfter(Revision after) const;

    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::vector<PendingWatch> m_pendingWatches;
    std::map<std::string, std::string> m_texts;
    // The texts that a configuration must have, by version number.
    std::map<uint64_t, std::map<std::string, std::string>> m_publishedTexts;
    SourceFault m_sourceFault { SourceFault::None };
    SourceState m_staleSource;
    std::vector<size_t> m_seedPeers;
    TimePoint m_nextTick;
};

} // namespace skylark
