#include "membership/ZoneEvacuations.h"

#include "base/SourceEra.h"

#include <algorithm>

namespace skylark {

ZoneEvacuations::ZoneEvacuations(ZoneEvacuationsOptions options)
    : m_options(std::move(options))
{
}

std::vector<ZoneName> ZoneEvacuations::apply(const EvacuationChanges& changes, TimePoint now)
{
    std::vector<ZoneName> changedZones;
    for (const EvacuationEntry& entry : changes.entries) {
        if (apply(entry, now))
            changedZones.push_back(entry.zone);
    }
    if (changes.isListing) {
        const std::vector<ZoneName> endedZones = endAbsent(changes, now);
        changedZones.insert(changedZones.end(), endedZones.begin(), endedZones.end());
    }
    // If all zones are evacuated, no entry has the revision of the listing.
    startGrace(std::max(revision(), changes.isListing ? changes.revision : Revision()), now);
    return changedZones;
}

bool ZoneEvacuations::apply(const EvacuationEntry& entry, TimePoint now)
{
    if (!entry.isEvacuated || !isKnown(entry.zone))
        return false;
    State& state = m_states[entry.zone];
    if (entry.revision <= state.revision)
        return false;
    state.revision = entry.revision;
    state.dropAt.reset();
    if (state.isEvacuated == *entry.isEvacuated)
        return false;
    state.isEvacuated = *entry.isEvacuated;
    state.since = now;
    return true;
}

std::vector<ZoneName> ZoneEvacuations::endAbsent(const EvacuationChanges& listing, TimePoint now)
{
    std::vector<ZoneName> endedZones;
    for (const ZoneName& zone : m_options.zones) {
        const bool isListed = std::any_of(listing.entries.begin(), listing.entries.end(),
            [&zone](const EvacuationEntry& entry) { return entry.zone == zone; });
        State& state = m_states[zone];
        if (isListed || state.revision > listing.revision)
            continue;
        if (!state.isEvacuated) {
            state.revision = listing.revision;
        } else if (eraOf(state.revision) == eraOf(listing.revision)) {
            end(state, listing.revision, now);
            endedZones.push_back(zone);
        }
    }
    return endedZones;
}

void ZoneEvacuations::startGrace(Revision known, TimePoint now)
{
    for (auto& [zone, state] : m_states) {
        if (!state.isEvacuated || eraOf(state.revision) >= eraOf(known))
            continue;
        // Each further era begins the grace period anew.
        if (state.dropAt && eraOf(state.missingAt) >= eraOf(known))
            continue;
        state.dropAt = now + m_options.eraGrace;
        state.missingAt = known;
    }
}

std::vector<ZoneName> ZoneEvacuations::advance(TimePoint now)
{
    std::vector<ZoneName> endedZones;
    for (auto& [zone, state] : m_states) {
        if (!state.dropAt || now < *state.dropAt)
            continue;
        end(state, state.missingAt, now);
        endedZones.push_back(zone);
    }
    return endedZones;
}

void ZoneEvacuations::end(State& state, Revision revision, TimePoint now)
{
    state = { .revision = revision, .isEvacuated = false, .since = now };
}

bool ZoneEvacuations::isEvacuated(const ZoneName& zone) const
{
    const auto found = m_states.find(zone);
    return found != m_states.end() && found->second.isEvacuated;
}

std::set<ZoneName> ZoneEvacuations::evacuatedZones() const
{
    std::set<ZoneName> zones;
    for (const auto& [zone, state] : m_states) {
        if (state.isEvacuated)
            zones.insert(zone);
    }
    return zones;
}

Revision ZoneEvacuations::revision() const
{
    Revision highest;
    for (const auto& [zone, state] : m_states)
        highest = std::max(highest, state.revision);
    return highest;
}

} // namespace skylark
