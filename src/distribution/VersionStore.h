// Holds the version in force, assembles its successor and decides which versions are applied.
//
// Manifests and section texts are offered from any origin, in any order and any number of times. A version
// is built only when every text that its manifest names is held under exactly that digest, and is then
// applied whole or rejected whole. The version in force never goes back, by (number, revision). A rejected
// manifest is remembered by digest and not built again. Memory: the texts of the current and one pending
// version, each at most 64 MB, 64 rejected versions, and the names that changed in recent versions.
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

// One line for each fault; never empty for a rejected version.
using ValidationErrors = std::vector<std::string>;
// Validates and builds a whole version; its result must be a function of the content alone.
using BuildFunction = std::function<std::variant<std::shared_ptr<const Configuration>, ValidationErrors>(
    const Manifest&, const std::vector<SectionText>&)>;

struct VersionStoreOptions {
    BuildFunction build;
    size_t maxSections { 4096 };
    size_t maxSectionBytes { 1 << 20 };
    size_t maxVersionBytes { 64 << 20 };
    size_t maxRejected { 64 };
    // A pending version that received nothing for this long gives way to an older one.
    Duration pendingTimeout { std::chrono::seconds(2) };
    // How long a version that a peer was said to hold keeps older ones from being applied.
    Duration seenLifetime { std::chrono::seconds(10) };
};

enum class OfferOutcome : uint8_t {
    // The version is in force now.
    Applied,
    // Texts are missing, see missingSections(), or the version is whole but held back since a peer was said to
    // hold a newer one; it then serves as the base for that one.
    Pending,
    // Not newer than what is in force or is pending.
    Outdated,
    // Rejected now or earlier.
    Rejected,
    // A ManifestDelta whose base is not held.
    UnknownBase,
    // The text does not have the digest, or a bound is exceeded; nothing was kept.
    Invalid,
};

struct VersionOrder {
    VersionNumber version;
    Revision revision;
    // clang-tidy 14 takes the literal 0 of a rewritten comparison for a null pointer.
    auto operator<=>(const VersionOrder&) const = default; // NOLINT(modernize-use-nullptr)
};

class VersionStore {
public:
    explicit VersionStore(VersionStoreOptions options);

    // Texts that come with the manifest are used for it and kept only if it is applied or pending.
    OfferOutcome offer(const Manifest& manifest, std::vector<SectionText> texts, TimePoint now);
    OfferOutcome offerDelta(const ManifestDelta& delta, std::vector<SectionText> texts, TimePoint now);
    // Texts for the pending version; those that it does not name are ignored.
    OfferOutcome offerTexts(std::vector<SectionText> texts, TimePoint now);
    // Applies a whole version that was held back, once the newer one that a peer was said to hold is forgotten.
    OfferOutcome advance(TimePoint now);
    // Notes a version that a peer holds: older ones are not applied for seenLifetime.
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
    // A text of the current or the pending version; null where it is not held.
    std::shared_ptr<const std::string> text(const Digest& digest) const;
    // The current version's texts in order of name.
    std::vector<std::pair<SectionName, std::shared_ptr<const std::string>>> currentTexts() const;

    // The current manifest as the difference from a held earlier one; from the empty manifest when the base
    // is not in the history. Must not be called before a version is applied.
    ManifestDelta deltaFrom(VersionNumber baseVersion, const Digest& baseDigest) const;
    // The newest version that is held whole, whether in force or held back; what a delta can start from.
    std::pair<VersionNumber, Digest> base() const;
    // The version before the current one, from which a push starts.
    std::pair<VersionNumber, Digest> previous() const { return m_previous; }

private:
    using Text = std::shared_ptr<const std::string>;
    using Texts = absl::flat_hash_map<Digest, Text>;
    struct Pending {
        Manifest manifest;
        Digest digest;
        TimePoint progressed;
        Texts texts;
    };
    struct HistoryStep {
        VersionNumber version;
        Digest digest;
        // Sections that differ between this version and the one after it.
        std::vector<SectionName> changed;
    };

    // Pending where a version with this order and digest is of use.
    OfferOutcome checkOffer(VersionOrder order, const Digest& digest) const;
    bool isDeferred(VersionOrder order, TimePoint now) const;
    std::optional<Manifest> manifestFrom(const ManifestDelta& delta) const;
    // Those of the given and held texts that the manifest names.
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
    size_t m_historyNames { 0 };
    std::pair<VersionNumber, Digest> m_previous;
    VersionOrder m_seen;
    TimePoint m_seenAt;
};

} // namespace skylark
