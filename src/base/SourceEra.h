// Composes a revision of the source from the source's era and its revision within the era.
//
// A source that is restored from a copy reissues revisions with other content. It counts an era for each restore, so
// that knowledge is ordered by era and then by revision: the era takes the high bits of Revision.
#pragma once

#include "base/Types.h"

namespace skylark {

inline constexpr int revisionBits = 40;
inline constexpr uint64_t maxRevisionInEra = (uint64_t { 1 } << revisionBits) - 1;
inline constexpr uint64_t maxEra = (uint64_t { 1 } << (64 - revisionBits)) - 1;

// Neither number may exceed its maximum.
inline Revision revisionInEra(uint64_t era, uint64_t revision) { return Revision(era << revisionBits | revision); }
inline uint64_t eraOf(Revision revision) { return revision.value() >> revisionBits; }
inline uint64_t numberInEra(Revision revision) { return revision.value() & maxRevisionInEra; }

} // namespace skylark
