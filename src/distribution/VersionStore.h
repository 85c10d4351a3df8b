// Holds the current version, assembles its successor and decides which versions are applied.
//
// - Manifests and section texts may be offered from any origin, in any order and any number of times.
// - A version is built only when the store holds every text of its manifest under exactly that digest. It is then
//   applied as a whole or rejected as a whole.
// - The current version never goes back, in the order of (number, revision).
// - A rejected manifest is recorded by digest and not built again.
// - Memory is bounded: the texts of the current and one pending version, each at most 64 MB, 64 rejected versions,
//   and the names of the sections that changed in recent versions.
#pragma once

#include "base/Digest.h"
#include "document/Configuration.h"
#include "wire/Messages.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <variant>

namespace skylark {

// One message for each validation error; never empty for a rejected version.
using ValidationErrors = std::vector<std::string>;
// Validates and builds a whole version; the result must depend on the content alone.
using BuildFunction = std::function<std::variant<std::shared_ptr<const Configuration>, ValidationErrors>(
    const Manifest&, const std::vector<SectionText>&)>;

struct VersionStoreOptions {
    BuildFunction build;
    size_t maxSections { 4096 };
    size_t maxSectionBytes { 1 << 20 };
    size_t maxVersionBytes { 64 << 20 };
    size_t maxRejected { 64 };
    // An older version may replace a pending version that has received no text for this time.
    Duration pendingTimeout { std::chrono::seconds(2) };
    // For this time after a peer reported that it holds a version, older versions are not applied.
    Duration seenLifetime { std::chrono::seconds(10) };
};

enum class OfferOutcome : uint8_t {
    // The version is the current one now.
    Applied,
    // Texts are missing, see missingSections(), or the version is complete but deferred since a peer holds a newer one;
    // it is then the base of a delta to the newer one.
    Pending,
    // The version is not newer than the current or the pending one.
    Outdated,
    // The version failed validation, now or earlier.
    Rejected,
    // The store does not hold the base of a ManifestDelta.
    UnknownBase,
    // The manifest does not have the stated digest, or its version number is zero; nothing was stored.
    Invalid,
};

struct VersionOrder {
    VersionNumber version;
    Revision revision;
    // clang-tidy 14 mistakes the literal 0 of a rewritten comparison for a null pointer.
    auto operator<=>(const VersionOrder&) const = default; // NOLINT(modernize-use-nullptr)
};

class VersionStore {
public:
    explicit VersionStore(VersionStoreOptions options);

    // The texts are used for this manifest only, and kept only if it is applied or pending.
    OfferOutcome offer(const Manifest& manifest, std::vector<SectionText> texts, TimePoint now);
    OfferOutcome offerDelta(const ManifestDelta& delta, std::vector<SectionText> texts, TimePoint now);
    // Adds texts to the pending version; texts that its manifest does not name are ignored.
    OfferOutcome offerTexts(std::vector<SectionText> texts, TimePoint now);
    // Applies a complete deferred version once the report of the newer one has expired.
    OfferOutcome advance(TimePoint now);
    // Records a version that a peer holds: older ones are not applied for seenLifetime.
    void recordSeen(VersionOrder seen, TimePoint now);

    // Null until the first version is applied.
    std::shared_ptr<const Configuration> current() const { return m_current; }
    VersionOrder currentOrder() const;
    // Zero before the first version.
    Digest currentDigest() const { return m_currentDigest; }
    VersionOrder highestSeen() const;
    const std::deque<RejectedVersion>& rejected() const { return m_rejected; }
    bool isRejected(const Digest& manifestDigest) const;

    std::optional<Manifest> pending() const { return m_pending ? std::optional(m_pending->manifest) : std::nullopt; }
    std::optional<Digest> pendingDigest() const { return m_pending ? std::optional(m_pending->digest) : std::nullopt; }
    std::vector<SectionDigest> missingSections() const;
    // Returns a text of the current or the pending version, or null if neither has it.
    std::shared_ptr<const std::string> text(const Digest& digest) const;
    // Returns the current version's texts in order of name.
    std::vector<std::pair<SectionName, std::shared_ptr<const std::string>>> currentTexts() const;

    // Returns the current manifest as a delta from an earlier one, or from the empty manifest if the base is not in the
    // history. Must not be called before a version is applied.
    ManifestDelta deltaFrom(VersionNumber baseVersion, const Digest& baseDigest) const;
    // The newest complete version, current or deferred, from which a delta can start.
    std::pair<VersionNumber, Digest> base() const;
    // The version before the current one, from which a push starts.
    std::pair<VersionNumber, Digest> previous() const { return m_previous; }

private:
    using Text = std::shared_ptr<const std::string>;
    using Texts = absl::flat_hash_map<Digest, Text>;
    struct Pending {
        Manifest manifest;
        Digest digest;
        TimePoint lastProgress;
        Texts texts;
    };
    struct HistoryStep {
        VersionNumber version;
        Digest digest;
        // Sections that differ between this version and its successor.
        std::vector<SectionName> changed;
    };

    // Returns Pending if a version with this order and digest may be stored.
    OfferOutcome checkOffer(VersionOrder order, const Digest& digest) const;
    bool isDeferred(VersionOrder order, TimePoint now) const;
    std::optional<Manifest> manifestFrom(const ManifestDelta& delta) const;
    // Returns the texts, offered or already held, that the manifest names.
    Texts collect(const Manifest& manifest, std::vector<SectionText> texts) const;
    OfferOutcome assemble(Pending candidate, TimePoint now);
    OfferOutcome apply(Pending candidate);
    OfferOutcome reject(const Pending& candidate, const std::string& reason);
    std::variant<std::shared_ptr<const Configuration>, ValidationErrors> buildCandidate(const Pending& candidate) const;
    void activate(std::shared_ptr<const Configuration> configuration, Pending candidate);
    void recordHistoryStep(const Manifest& next);
    static std::vector<SectionDigest> missingOf(const Pending& candidate);

    VersionStoreOptions m_options;
    std::shared_ptr<const Configuration> m_current;
    Digest m_currentDigest;
    Texts m_texts;
    std::optional<Pending> m_pending;
    std::deque<RejectedVersion> m_rejected;
    std::deque<HistoryStep> m_history;
    size_t m_historyNameCount { 0 };
    std::pair<VersionNumber, Digest> m_previous;
    VersionOrder m_seenOrder;
    TimePoint m_seenTime;
};

} // namespace skylark
