// What the node needs of the platform's store: listings of keys under a prefix, and what changed since a revision.
//
// The calls block and are made by one thread. All throw Error, which names the step and the source; the source may
// or may not have counted the call then.
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
    // May lag behind by seconds; a watch from its revision brings what is missing. Cheaper for the source.
    MayBeStale,
};

// Items as of a revision: all under the prefix, or those that changed.
struct SourceItems {
    std::vector<SourceItem> items;
    Revision revision;
    // How long the answer took to arrive after its first byte. The items were true before that.
    Duration transferTime {};
};

// The changes since the revision asked for are no longer to be had; list again.
class HistoryLost : public Error {
public:
    using Error::Error;
};

class KeyValueSource {
public:
    virtual ~KeyValueSource() = default;
    virtual SourceItems list(const std::string& prefix, ListFreshness freshness) = 0;
    // Waits for a change after the revision, for `wait` at most; no items when there was none.
    virtual SourceItems watch(const std::string& prefix, Revision after, Duration wait) = 0;
    // Makes a blocked call of another thread fail soon.
    virtual void interrupt() = 0;
};

} // namespace skylark
