#include "distribution/VersionStore.h"

#include "base/Error.h"
#include "base/Invariant.h"

#include <absl/container/btree_set.h>
#include <algorithm>

namespace skylark {

namespace {

    // A node that is further behind gets the whole manifest and requests the texts that it lacks.
    constexpr size_t maxHistorySteps = 256;
    constexpr size_t maxHistoryNames = 16384;
    constexpr size_t maxReasonBytes = 512;

    VersionOrder orderOf(const Manifest& manifest)
    {
        return { .version = manifest.version, .revision = manifest.revision };
    }

    // Truncates at a character boundary, so that the text stays valid UTF-8.
    std::string truncated(const std::string& text)
    {
        if (text.size() <= maxReasonBytes)
            return text;
        size_t end = maxReasonBytes;
        while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80)
            --end;
        return text.substr(0, end);
    }

} // namespace

VersionStore::VersionStore(VersionStoreOptions options)
    : m_options(std::move(options))
{
}

VersionOrder VersionStore::currentOrder() const { return m_current ? orderOf(m_current->manifest()) : VersionOrder(); }

VersionOrder VersionStore::highestSeen() const { return std::max(m_seenOrder, currentOrder()); }

void VersionStore::recordSeen(VersionOrder seen, TimePoint now)
{
    const bool isExpired = now - m_seenTime >= m_options.seenLifetime;
    if (seen < m_seenOrder && !isExpired)
        return;
    m_seenOrder = seen;
    m_seenTime = now;
}

bool VersionStore::isRejected(const Digest& manifestDigest) const
{
    return std::any_of(m_rejected.begin(), m_rejected.end(),
        [&](const RejectedVersion& rejected) { return rejected.digest == manifestDigest; });
}

OfferOutcome VersionStore::checkOffer(VersionOrder order, const Digest& digest) const
{
    if (order.version == VersionNumber())
        return OfferOutcome::Invalid;
    if (m_current && order <= currentOrder())
        return OfferOutcome::Outdated;
    return isRejected(digest) ? OfferOutcome::Rejected : OfferOutcome::Pending;
}

bool VersionStore::isDeferred(VersionOrder order, TimePoint now) const
{
    return order < m_seenOrder && now - m_seenTime < m_options.seenLifetime;
}

OfferOutcome VersionStore::offer(const Manifest& manifest, std::vector<SectionText> texts, TimePoint now)
{
    const Digest digest = manifest.digest();
    const OfferOutcome outcome = checkOffer(orderOf(manifest), digest);
    if (outcome != OfferOutcome::Pending)
        return outcome;
    Pending candidate { .manifest = manifest, .digest = digest, .lastProgress = now };
    if (manifest.sections.size() > m_options.maxSections)
        return reject(candidate, "the manifest names more than " + std::to_string(m_options.maxSections) + " sections");
    candidate.texts = collect(manifest, std::move(texts));
    return assemble(std::move(candidate), now);
}

OfferOutcome VersionStore::offerDelta(const ManifestDelta& delta, std::vector<SectionText> texts, TimePoint now)
{
    const OfferOutcome outcome = checkOffer({ .version = delta.version, .revision = delta.revision }, delta.digest);
    if (outcome != OfferOutcome::Pending)
        return outcome;
    const std::optional<Manifest> manifest = manifestFrom(delta);
    if (!manifest)
        return OfferOutcome::UnknownBase;
    if (manifest->digest() != delta.digest)
        return OfferOutcome::Invalid;
    return offer(*manifest, std::move(texts), now);
}

std::optional<Manifest> VersionStore::manifestFrom(const ManifestDelta& delta) const
{
    Manifest manifest;
    if (m_current && delta.digest == m_currentDigest) {
        // The same content under a newer revision.
        manifest.sections = m_current->manifest().sections;
    } else {
        if (m_current && delta.baseDigest == m_currentDigest)
            manifest = m_current->manifest();
        else if (m_pending && delta.baseDigest == m_pending->digest)
            manifest = m_pending->manifest;
        else if (delta.baseVersion != VersionNumber())
            return std::nullopt;
        for (const SectionName& name : delta.removed)
            manifest.sections.erase(name);
        for (const SectionDigest& section : delta.changed)
            manifest.sections[section.name] = section.digest;
    }
    manifest.version = delta.version;
    manifest.revision = delta.revision;
    return manifest;
}

VersionStore::Texts VersionStore::collect(const Manifest& manifest, std::vector<SectionText> texts) const
{
    Texts offeredTexts;
    for (SectionText& section : texts) {
        if (section.text.size() > m_options.maxSectionBytes)
            continue;
        const Digest digest = digestOf(section.text);
        offeredTexts.emplace(digest, std::make_shared<const std::string>(std::move(section.text)));
    }
    Texts result;
    for (const auto& [name, digest] : manifest.sections) {
        const auto found = offeredTexts.find(digest);
        if (const Text heldText = found != offeredTexts.end() ? found->second : text(digest))
            result.emplace(digest, heldText);
    }
    return result;
}

std::vector<SectionDigest> VersionStore::missingOf(const Pending& candidate)
{
    std::vector<SectionDigest> missing;
    for (const auto& [name, digest] : candidate.manifest.sections)
        if (!candidate.texts.contains(digest))
            missing.push_back({ .name = name, .digest = digest });
    return missing;
}

OfferOutcome VersionStore::assemble(Pending candidate, TimePoint now)
{
    if (missingOf(candidate).empty() && !isDeferred(orderOf(candidate.manifest), now))
        return apply(std::move(candidate));
    if (m_pending && m_pending->digest == candidate.digest) {
        // collect() included the texts of the pending version, so an equal count means that no text was new.
        if (candidate.texts.size() == m_pending->texts.size())
            candidate.lastProgress = m_pending->lastProgress;
        candidate.manifest.revision = std::max(candidate.manifest.revision, m_pending->manifest.revision);
    } else if (m_pending && !candidate.manifest.isNewerThan(m_pending->manifest)
        && now - m_pending->lastProgress < m_options.pendingTimeout) {
        return OfferOutcome::Outdated;
    }
    m_pending = std::move(candidate);
    return OfferOutcome::Pending;
}

OfferOutcome VersionStore::offerTexts(std::vector<SectionText> texts, TimePoint now)
{
    if (!m_pending)
        return OfferOutcome::Outdated;
    return offer(Manifest(m_pending->manifest), std::move(texts), now);
}

OfferOutcome VersionStore::advance(TimePoint now)
{
    if (!m_pending || !missingSections().empty() || isDeferred(orderOf(m_pending->manifest), now))
        return OfferOutcome::Pending;
    Pending candidate = std::move(*m_pending);
    m_pending.reset();
    return apply(std::move(candidate));
}

std::pair<VersionNumber, Digest> VersionStore::base() const
{
    if (m_pending && missingSections().empty())
        return { m_pending->manifest.version, m_pending->digest };
    return m_current ? std::pair(m_current->manifest().version, m_currentDigest) : std::pair<VersionNumber, Digest>();
}

OfferOutcome VersionStore::reject(const Pending& candidate, const std::string& reason)
{
    m_rejected.push_back(
        { .version = candidate.manifest.version, .digest = candidate.digest, .reason = truncated(reason) });
    if (m_rejected.size() > m_options.maxRejected)
        m_rejected.pop_front();
    if (m_pending && m_pending->digest == candidate.digest)
        m_pending.reset();
    return OfferOutcome::Rejected;
}

std::variant<std::shared_ptr<const Configuration>, ValidationErrors> VersionStore::buildCandidate(
    const Pending& candidate) const
{
    // The content of the current version was validated before; only its revision is new.
    if (m_current && candidate.digest == m_currentDigest)
        return std::make_shared<const Configuration>(
            candidate.manifest, m_current->ranks(), m_current->services(), m_current->routes());
    std::vector<SectionText> texts;
    size_t bytes = 0;
    for (const auto& [name, digest] : candidate.manifest.sections) {
        bytes += candidate.texts.at(digest)->size();
        if (bytes > m_options.maxVersionBytes)
            return ValidationErrors { "the texts have more than " + std::to_string(m_options.maxVersionBytes)
                + " bytes" };
        texts.push_back({ .name = name, .text = *candidate.texts.at(digest) });
    }
    try {
        return m_options.build(candidate.manifest, texts);
    } catch (const InvariantViolation&) {
        throw;
    } catch (const Error& error) {
        return ValidationErrors { error.what() };
    }
}

OfferOutcome VersionStore::apply(Pending candidate)
{
    auto result = buildCandidate(candidate);
    if (const auto* errors = std::get_if<ValidationErrors>(&result))
        return reject(candidate, errors->empty() ? "the build function gave no reason" : errors->front());
    activate(std::get<std::shared_ptr<const Configuration>>(std::move(result)), std::move(candidate));
    return OfferOutcome::Applied;
}

void VersionStore::activate(std::shared_ptr<const Configuration> configuration, Pending candidate)
{
    constexpr const char* step = "apply-version";
    invariant(configuration != nullptr && configuration->manifest() == candidate.manifest,
        { .rule = "a published configuration's manifest equals the offered one", .step = step });
    invariant(!m_current || candidate.manifest.isNewerThan(m_current->manifest()),
        { .rule = "the applied version never goes back", .step = step });
    for (const auto& [name, digest] : candidate.manifest.sections)
        invariant(digestOf(*candidate.texts.at(digest)) == digest,
            { .rule = "every stored text matches its digest", .step = step });
    recordHistoryStep(candidate.manifest);
    m_current = std::move(configuration);
    m_currentDigest = candidate.digest;
    m_texts = std::move(candidate.texts);
    if (m_pending && !m_pending->manifest.isNewerThan(m_current->manifest()))
        m_pending.reset();
}

void VersionStore::recordHistoryStep(const Manifest& next)
{
    m_previous
        = m_current ? std::pair(m_current->manifest().version, m_currentDigest) : std::pair(VersionNumber(), Digest());
    if (!m_current)
        return;
    HistoryStep step { .version = m_previous.first, .digest = m_previous.second };
    const auto& oldSections = m_current->manifest().sections;
    for (const auto& [name, digest] : next.sections) {
        const auto old = oldSections.find(name);
        if (old == oldSections.end() || old->second != digest)
            step.changed.push_back(name);
    }
    for (const auto& [name, digest] : oldSections)
        if (!next.sections.contains(name))
            step.changed.push_back(name);
    m_historyNameCount += step.changed.size();
    m_history.push_back(std::move(step));
    while (m_history.size() > maxHistorySteps || m_historyNameCount > maxHistoryNames) {
        m_historyNameCount -= m_history.front().changed.size();
        m_history.pop_front();
    }
}

std::vector<SectionDigest> VersionStore::missingSections() const
{
    return m_pending ? missingOf(*m_pending) : std::vector<SectionDigest> {};
}

VersionStore::Text VersionStore::text(const Digest& digest) const
{
    if (const auto found = m_texts.find(digest); found != m_texts.end())
        return found->second;
    if (!m_pending)
        return nullptr;
    const auto found = m_pending->texts.find(digest);
    return found == m_pending->texts.end() ? nullptr : found->second;
}

std::vector<std::pair<SectionName, std::shared_ptr<const std::string>>> VersionStore::currentTexts() const
{
    std::vector<std::pair<SectionName, Text>> texts;
    if (!m_current)
        return texts;
    for (const auto& [name, digest] : m_current->manifest().sections)
        texts.emplace_back(name, m_texts.at(digest));
    return texts;
}

ManifestDelta VersionStore::deltaFrom(VersionNumber baseVersion, const Digest& baseDigest) const
{
    invariant(m_current != nullptr, { .rule = "a delta requires a current version", .step = "delta-from" });
    const Manifest& manifest = m_current->manifest();
    ManifestDelta delta { .baseVersion = baseVersion,
        .baseDigest = baseDigest,
        .version = manifest.version,
        .revision = manifest.revision,
        .digest = m_currentDigest };
    if (baseDigest == m_currentDigest)
        return delta;
    auto step = std::find_if(m_history.begin(), m_history.end(), [&](const HistoryStep& candidate) {
        return candidate.version == baseVersion && candidate.digest == baseDigest;
    });
    if (step == m_history.end()) {
        delta.baseVersion = {};
        delta.baseDigest = {};
        for (const auto& [name, digest] : manifest.sections)
            delta.changed.push_back({ .name = name, .digest = digest });
        return delta;
    }
    absl::btree_set<SectionName> names;
    for (; step != m_history.end(); ++step)
        names.insert(step->changed.begin(), step->changed.end());
    for (const SectionName& name : names) {
        const auto found = manifest.sections.find(name);
        if (found == manifest.sections.end())
            delta.removed.push_back(name);
        else
            delta.changed.push_back({ .name = name, .digest = found->second });
    }
    return delta;
}

} // namespace skylark
