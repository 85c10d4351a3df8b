// Test fixture: a router and a small set of instances that tests change one by one.
#pragma once

#include "routing/Router.h"
#include "testing/FakeClock.h"

#include <gtest/gtest.h>
#include <map>

namespace skylark {

class RouterFixture : public testing::Test {
protected:
    static InstanceState state(const std::string& id, const std::string& zone, const std::string& region = "r1")
    {
        return { .record = { .id = InstanceId(id),
                     .incarnation = Incarnation(1),
                     .peer = { "127.0.0.1", 7000 },
                     .service = ServiceName("pitch"),
                     .zone = ZoneName(zone),
                     .region = RegionName(region) } };
    }
    void add(const std::string& id, const std::string& zone, const std::string& region = "r1")
    {
        m_states[id] = state(id, zone, region);
        m_states[id].firstSeen = m_clock.now() - std::chrono::hours(1);
    }
    void publish(Router& router)
    {
        std::vector<InstanceState> states;
        for (const auto& [id, entry] : m_states)
            states.push_back(entry);
        router.update(std::make_shared<MembershipView>(std::move(states)), m_clock.now());
    }
    void publish() { publish(m_router); }

    std::optional<Choice> choose(bool isIdempotent = true, const std::vector<InstanceId>& excluded = {})
    {
        return m_router.choose({ .service = ServiceName("pitch"), .excluded = excluded, .isIdempotent = isIdempotent },
            m_random, m_clock.now());
    }
    void finish(const Choice& choice, bool isFault = false, std::optional<LoadHint> load = std::nullopt,
        Duration latency = std::chrono::milliseconds(10))
    {
        m_router.recordCallFinished(choice,
            { .outcome = isFault ? CallOutcome::Unknown : CallOutcome::Answered,
                .isFault = isFault,
                .latency = latency,
                .load = load },
            m_clock.now());
    }
    // Makes calls that end immediately and returns their number by instance.
    std::map<std::string, int> callCounts(int calls)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < calls; ++i) {
            const auto choice = choose();
            if (!choice)
                continue;
            ++counts[choice->instance.value()];
            m_router.recordCallStarted(*choice);
            finish(*choice);
        }
        return counts;
    }
    // Makes one call to the given instance, with the given result.
    void callTo(const std::string& id, bool isFault, std::optional<LoadHint> load = std::nullopt)
    {
        std::vector<InstanceId> others;
        for (const auto& [otherId, entry] : m_states) {
            if (otherId != id)
                others.emplace_back(otherId);
        }
        const auto choice = choose(true, others);
        ASSERT_TRUE(choice && choice->instance.value() == id) << id;
        m_router.recordCallStarted(*choice);
        finish(*choice, isFault, load);
    }
    void refresh()
    {
        m_clock.advance(std::chrono::seconds(1));
        m_router.advance(m_clock.now());
    }

    FakeClock m_clock;
    Random m_random { 5 };
    std::map<std::string, InstanceState> m_states;
    Router m_router { RouterOptions {
        .zone = ZoneName("z1"), .region = RegionName("r1"), .regionOrder = { RegionName("r3"), RegionName("r2") } } };
};

} // namespace skylark
