#include "retry/RequestDeduplicator.h"

#include "base/Invariant.h"

#include <algorithm>

namespace skylark {

namespace {

    constexpr const char* step = "execution record";

    Digest attemptDigest(const RequestId& requestId, uint32_t attempt)
    {
        return digestOf(requestId.value() + '\n' + std::to_string(attempt));
    }

    Digest keyDigest(const std::string& key) { return key.empty() ? Digest {} : digestOf(key); }

} // namespace

const char* claimRefusalName(ClaimRefusal reason)
{
    switch (reason) {
    case ClaimRefusal::RefusedBefore:
        return "this attempt was refused before";
    case ClaimRefusal::CapacityReached:
        return "the execution record is full";
    case ClaimRefusal::BeforePause:
        return "the request was received before a pause of the process";
    case ClaimRefusal::OtherIncarnation:
        return "the request is meant for an earlier process of this instance";
    }
    return "unknown";
}

RequestDeduplicator::RequestDeduplicator(RequestDeduplicatorOptions options, TimePoint startedAt)
    : m_options(options)
    , m_refusals(options.retention, startedAt)
    , m_coveredSince(startedAt)
    , m_lastAdvance(startedAt)
    , m_acceptFrom(startedAt)
{
    m_entries.reserve(options.capacity);
}

Claim RequestDeduplicator::claim(const ClaimRequest& request, TimePoint now)
{
    detectPause(now);
    expireEnded(now);
    const Digest id = digestOf(request.requestId.value());
    const Digest key = keyDigest(request.idempotencyKey);
    if (const Entry* entry = find(id, key)) {
        if (entry->isDone)
            return ClaimDone { entry->outcome };
        return ClaimRunning {};
    }
    // This check precedes all refusals: a refusal states "not run", which would also cover copies that may have run
    // elsewhere.
    if (request.isResend && !isCovered(request, now))
        return ClaimNotCovered {};
    const Digest attempt = attemptDigest(request.requestId, request.attempt);
    if (m_refusals.contains(attempt))
        return ClaimRefused { ClaimRefusal::RefusedBefore };
    if (request.gateIncarnation != m_options.gateIncarnation)
        return refuseClaim(request, ClaimRefusal::OtherIncarnation, now);
    if (request.receivedAt < m_acceptFrom)
        return refuseClaim(request, ClaimRefusal::BeforePause, now);
    if (isFull())
        return refuseClaim(request, ClaimRefusal::CapacityReached, now);

    const bool isNew = m_entries.emplace(id, Entry { .key = key, .attempt = attempt }).second;
    const bool isNewKey = key == Digest {} || m_idOfKey.emplace(key, id).second;
    invariant(isNew && isNewKey, { .rule = "a request or key that is new has no entry yet", .step = step });
    invariant(m_entries.size() <= m_options.capacity,
        { .rule = "the number of entries is at most the capacity", .step = step });
    return ClaimNew {};
}

void RequestDeduplicator::finish(const RequestId& requestId, CallOutcome outcome, TimePoint now)
{
    const Digest id = digestOf(requestId.value());
    const auto found = m_entries.find(id);
    invariant(found != m_entries.end() && !found->second.isDone,
        { .rule = "only a claimed request finishes, and only once", .step = step, .peer = requestId.value() });
    invariant(outcome != CallOutcome::NotRun,
        { .rule = "a request that was handed to the backend server never ends as NotRun", .step = step });
    found->second.isDone = true;
    found->second.outcome = outcome;
    m_ended.push_back({ id, now });
}

void RequestDeduplicator::refuse(const RequestId& requestId, uint32_t attempt, TimePoint now)
{
    const Digest id = digestOf(requestId.value());
    const Digest digest = attemptDigest(requestId, attempt);
    if (const auto found = m_entries.find(id); found != m_entries.end()) {
        invariant(!found->second.isDone && found->second.attempt == digest,
            { .rule = "only the claimed attempt is refused, and only before it ends", .step = step });
        erase(id);
    }
    m_refusals.add(digest, now);
}

bool RequestDeduplicator::wasRefused(const RequestId& requestId, uint32_t attempt) const
{
    return m_refusals.contains(attemptDigest(requestId, attempt));
}

void RequestDeduplicator::advance(TimePoint now)
{
    detectPause(now);
    m_lastAdvance = now;
    m_refusals.advance(now);
    expireEnded(now);
}

void RequestDeduplicator::recordOwnershipChange(TimePoint now) { m_coveredSince = std::max(m_coveredSince, now); }

const RequestDeduplicator::Entry* RequestDeduplicator::find(const Digest& id, const Digest& key) const
{
    if (const auto found = m_entries.find(id); found != m_entries.end())
        return &found->second;
    if (key == Digest {})
        return nullptr;
    const auto owner = m_idOfKey.find(key);
    if (owner == m_idOfKey.end())
        return nullptr;
    const auto found = m_entries.find(owner->second);
    invariant(
        found != m_entries.end(), { .rule = "each idempotency key belongs to a request with an entry", .step = step });
    return &found->second;
}

bool RequestDeduplicator::isCovered(const ClaimRequest& request, TimePoint now) const
{
    // Without a key the other copies may have gone to any gate.
    return !request.idempotencyKey.empty() && now - m_coveredSince >= m_options.retention;
}

void RequestDeduplicator::detectPause(TimePoint now)
{
    if (now - m_lastAdvance <= m_options.pauseGap)
        return;
    m_lastAdvance = now;
    m_acceptFrom = now + m_options.resumeMargin;
    // During the pause the instance may have been off the list and its keys may have been with another gate.
    recordOwnershipChange(now);
}

void RequestDeduplicator::expireEnded(TimePoint now)
{
    while (!m_ended.empty() && now - m_ended.front().endedAt >= m_options.retention) {
        erase(m_ended.front().id);
        m_ended.pop_front();
    }
}

void RequestDeduplicator::erase(const Digest& id)
{
    const auto found = m_entries.find(id);
    invariant(found != m_entries.end(), { .rule = "only requests with an entry are erased", .step = step });
    if (found->second.key != Digest {})
        m_idOfKey.erase(found->second.key);
    m_entries.erase(found);
}

Claim RequestDeduplicator::refuseClaim(const ClaimRequest& request, ClaimRefusal reason, TimePoint now)
{
    m_refusals.add(attemptDigest(request.requestId, request.attempt), now);
    return ClaimRefused { reason };
}

} // namespace skylark
