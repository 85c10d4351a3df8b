// Interface to the platform's store as the node needs it: lists the keys under a prefix, watches for changes after a
// revision and reads one key.
//
// All calls block, and one thread makes all calls to one source. A failed call throws Error, which names the step
// and the source. The source may or may not have counted such a call.
#pragma once

#include "base/Error.h"
#include "base/Types.h"

#include <string>
#include <vector>

namespace skylark {

struct SourceItem {
    std::string key;
    // Empty for a deleted key.
    std::string value;
    Revision revision;
    bool isDeleted { false };
};

enum class ListFreshness : uint8_t {
    Latest,
    // May lag behind by seconds; a watch from its revision returns what is missing. Costs the source less.
    MayBeStale,
};

// All items under a prefix, or those that changed, as of a revision.
struct SourceItems {
    std::vector<SourceItem> items;
    // For changes: the items hold every change after this revision.
    Revision since;
    Revision revision;
    // Time from the first byte of the response to its end. The items were current when the first byte arrived.
    Duration transferTime {};
};

// The source no longer has the changes since the requested revision; list again.
class HistoryLost : public Error {
public:
    using Error::Error;
};

class KeyValueSource {
public:
    virtual ~KeyValueSource() = default;
    virtual SourceItems list(const std::string& prefix, ListFreshness freshness) = 0;
    // Waits at most `wait` for a change after the revision; returns no items when there was none.
    virtual SourceItems watch(const std::string& prefix, Revision after, Duration wait) = 0;
    // Returns the key's current state.
    virtual SourceItem read(const std::string& key) = 0;
    // Makes a call that blocks in another thread fail soon.
    virtual void interrupt() = 0;
};

} // namespace skylark
