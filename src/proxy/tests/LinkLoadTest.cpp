// Simulates servers whose links cannot carry all downloads, and compares the rules for the link.
//
// In each rule the link sends what it was given in order of arrival. With the present rule it is given each response
// whole. With the new rule each connection gives it at most what the kernel may hold unsent (unsentBytesFor) and one
// piece, and LinkBudget decides on the calls. The rule that knows everything places each download on the link that is
// free first and refuses it only if it would be late there.
#include "admission/AdmissionController.h"
#include "admission/LinkBudget.h"
#include "base/Random.h"
#include "proxy/FrameChannel.h"
#include "testing/EventQueue.h"
#include "testing/FakeClock.h"
#include "testing/TestSeed.h"

#include <cstdio>
#include <gtest/gtest.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    constexpr int serverCount = 8;
    constexpr int slots = 6;
    constexpr int nodeCount = 73;
    constexpr double linkBits = 16e6;
    constexpr double downloadsPerSecond = 204;
    constexpr double nestedPerSecond = 250;
    constexpr size_t downloadBytes = 90000;
    constexpr size_t nestedBytes = 60;
    constexpr Duration oneWay = 5ms;
    constexpr Duration downloadTarget = 500ms;
    constexpr Duration downloadDeadline = 1200ms;
    constexpr Duration nestedDeadline = 300ms;
    constexpr int maxAttempts = 2;

    Duration sendTime(size_t bytes)
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) * 8 / linkBits));
    }

    struct Share {
        int64_t offered { 0 };
        int64_t onTime { 0 };
        int64_t late { 0 };
        double value() const { return offered > 0 ? static_cast<double>(onTime) / static_cast<double>(offered) : 0; }
    };

    struct Shares {
        Share nested;
        Share downloads;
    };

    struct Call {
        bool isNested { false };
        int node { 0 };
        TimePoint arrival;
        TimePoint onTimeBy;
        TimePoint deadline;
        Duration service {};
        int attempts { 0 };
        bool hasEnded { false };
        uint64_t reservedBytes { 0 };

        size_t bytes() const { return isNested ? nestedBytes : downloadBytes; }
        int rank() const { return isNested ? 0 : 2; }
        std::string route() const { return isNested ? "alert" : "download"; }
    };

    std::vector<Call> makeCalls(uint64_t seed, TimePoint start, Duration length)
    {
        Random random(seed);
        std::vector<Call> calls;
        for (const bool isNested : { false, true }) {
            std::exponential_distribution<double> gap(isNested ? nestedPerSecond : downloadsPerSecond);
            const Duration mean = isNested ? 27ms : 73ms;
            for (TimePoint time = start; time < start + length;) {
                calls.push_back({ .isNested = isNested,
                    .node = static_cast<int>(random.below(nodeCount)),
                    .arrival = time,
                    .onTimeBy = time + (isNested ? nestedDeadline : downloadTarget),
                    .deadline = time + (isNested ? nestedDeadline : downloadDeadline),
                    .service = mean / 2 + random.upTo(mean) });
                time += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random.engine())));
            }
        }
        std::sort(calls.begin(), calls.end(),
            [](const Call& left, const Call& right) { return left.arrival < right.arrival; });
        return calls;
    }

    enum class Rule : uint8_t {
        Present,
        New,
    };

    class LinkSimulation {
    public:
        LinkSimulation(Rule rule, uint64_t seed, Duration length)
            : m_rule(rule)
            , m_random(seed ^ 0x5eed)
            , m_calls(makeCalls(seed, m_clock.now(), length))
        {
            for (int i = 0; i < serverCount; ++i)
                m_servers.push_back(std::make_unique<Server>(m_clock.now(), rule));
        }

        Shares run()
        {
            for (size_t call = 0; call < m_calls.size(); ++call)
                at(m_calls[call].arrival, [this, call] { attempt(call, serverCount); });
            m_end = m_calls.back().arrival + 2s;
            at(m_clock.now() + 10ms, [this] { tick(); });
            while (m_clock.now() < m_end)
                m_events.runFirst([this](TimePoint time) { m_clock.advance(time - m_clock.now()); });
            return m_shares;
        }

    private:
        struct Transmission {
            int node { 0 };
            size_t bytes { 0 };
            size_t call { 0 };
            bool isLast { false };
        };
        struct Server {
            Server(TimePoint now, Rule rule)
                : admission({ .ranks = { { .name = RankName("first"), .target = 500ms },
                                  { .name = RankName("second"), .target = 500ms },
                                  { .name = RankName("third"), .target = 500ms } },
                                .slots = slots,
                                .limitPolicy = StatedLimit {} },
                    now)
                , link(rule == Rule::New ? linkBits : 0)
                , queues(nodeCount)
                , handedOver(nodeCount)
            {
            }
            AdmissionController admission;
            LinkBudget link;
            ServiceTimeEstimate service;
            std::vector<FrameQueue> queues;
            // Bytes that each connection has given to the link.
            std::vector<size_t> handedOver;
            std::deque<Transmission> transmissions;
            bool isSending { false };
        };

        void at(TimePoint time, std::function<void()> action) { m_events.add(time, std::move(action)); }
        TimePoint now() const { return m_clock.now(); }

        void tick()
        {
            for (size_t server = 0; server < m_servers.size(); ++server)
                apply(server, m_servers[server]->admission.advance(now()));
            at(now() + 10ms, [this] { tick(); });
        }

        void attempt(size_t call, size_t previous)
        {
            size_t server = m_random.below(serverCount);
            if (server == previous)
                server = (server + 1) % serverCount;
            if (m_calls[call].attempts++ == 0)
                ++share(call).offered;
            at(now() + oneWay, [this, call, server] { arrive(call, server); });
        }

        void arrive(size_t number, size_t index)
        {
            Server& server = *m_servers[index];
            Call& call = m_calls[number];
            const Duration service
                = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(server.service.mean()));
            if (!server.link.tryAccept(
                    { .route = call.route(),
                        .rank = call.rank(),
                        .readyAt = now() + server.admission.estimatedWait(call.rank(), now()) + service,
                        .onTimeBy = call.onTimeBy,
                        .deadline = call.deadline },
                    now())) {
                refuse(number, index);
                return;
            }
            call.reservedBytes = server.link.expectedBytes(call.route());
            server.link.reserve(call.reservedBytes);
            const AdmitResult result = server.admission.offer(
                { .id = TicketId(number), .rank = call.rank(), .deadline = call.deadline, .onTimeBy = call.onTimeBy },
                now());
            for (const RefusedTicket& displaced : result.displaced)
                releaseAndRefuse(displaced.ticket.id.value(), index);
            if (result.admission == Admission::Admitted)
                start(number, index);
            else if (result.admission == Admission::Refused)
                releaseAndRefuse(number, index);
        }

        void apply(size_t server, const Dispatch& dispatch)
        {
            for (const RefusedTicket& refused : dispatch.refused)
                releaseAndRefuse(refused.ticket.id.value(), server);
            for (const Ticket& started : dispatch.started)
                start(started.id.value(), server);
        }

        void releaseAndRefuse(size_t call, size_t server)
        {
            m_servers[server]->link.release(m_calls[call].reservedBytes);
            refuse(call, server);
        }

        void refuse(size_t call, size_t server)
        {
            if (m_calls[call].attempts < maxAttempts)
                at(now() + oneWay, [this, call, server] { attempt(call, server); });
        }

        void start(size_t call, size_t server)
        {
            at(now() + m_calls[call].service, [this, call, server] { finish(call, server); });
        }

        void finish(size_t number, size_t index)
        {
            Server& server = *m_servers[index];
            const Call& call = m_calls[number];
            server.service.add(call.service, now());
            apply(index, server.admission.release(TicketId(number), ServiceResult::Answered, call.service, now()));
            server.link.release(call.reservedBytes);
            server.link.recordResponse(call.route(), call.bytes(), now());
            send(number, index);
        }

        void send(size_t number, size_t index)
        {
            Server& server = *m_servers[index];
            const Call& call = m_calls[number];
            if (m_rule == Rule::Present) {
                server.transmissions.push_back(
                    { .node = call.node, .bytes = call.bytes(), .call = number, .isLast = true });
            } else {
                server.link.recordQueued(call.bytes(), call.bytes(), now());
                server.link.changeWaiting(static_cast<int64_t>(call.bytes()));
                server.queues[call.node].add(StreamId(number), static_cast<uint32_t>(call.rank()),
                    call.isNested ? m_nestedBody : m_downloadBody);
                at(std::max(now(), call.deadline), [this, number, index] { cancel(number, index); });
                produce(call.node, index);
            }
            transmit(index);
        }

        void cancel(size_t number, size_t index)
        {
            Server& server = *m_servers[index];
            const size_t bytes = server.queues[m_calls[number].node].cancel(StreamId(number));
            server.link.changeWaiting(-static_cast<int64_t>(bytes));
            server.link.recordDropped(bytes);
        }

        // Gives pieces of the connection to the link, as FrameChannel does.
        void produce(int node, size_t index)
        {
            Server& server = *m_servers[index];
            while (server.handedOver[node] < unsentBytesFor(linkBits) + FrameQueue::pieceBytes) {
                const auto chunk = server.queues[node].next();
                if (!chunk)
                    return;
                server.handedOver[node] += chunk->data.size();
                server.link.changeWaiting(-static_cast<int64_t>(chunk->data.size()));
                server.transmissions.push_back({ .node = node,
                    .bytes = chunk->data.size(),
                    .call = chunk->stream.value(),
                    .isLast = chunk->isLast });
            }
        }

        void transmit(size_t index)
        {
            Server& server = *m_servers[index];
            if (server.isSending || server.transmissions.empty())
                return;
            server.isSending = true;
            const Transmission next = server.transmissions.front();
            server.transmissions.pop_front();
            at(now() + sendTime(next.bytes), [this, index, next] {
                Server& sender = *m_servers[index];
                sender.isSending = false;
                if (next.isLast)
                    deliver(next.call);
                if (m_rule == Rule::New) {
                    sender.handedOver[next.node] -= next.bytes;
                    produce(next.node, index);
                }
                transmit(index);
            });
        }

        void deliver(size_t call)
        {
            const TimePoint deliveredAt = now() + oneWay;
            if (deliveredAt <= m_calls[call].onTimeBy)
                ++share(call).onTime;
            else if (deliveredAt <= m_calls[call].deadline)
                ++share(call).late;
        }

        Share& share(size_t call) { return m_calls[call].isNested ? m_shares.nested : m_shares.downloads; }

        const Rule m_rule;
        FakeClock m_clock;
        Random m_random;
        EventQueue m_events;
        TimePoint m_end;
        std::vector<Call> m_calls;
        std::vector<std::unique_ptr<Server>> m_servers;
        Shares m_shares;
        const SharedBody m_downloadBody { std::make_shared<const std::string>(std::string(downloadBytes, 'd')) };
        const SharedBody m_nestedBody { std::make_shared<const std::string>(std::string(nestedBytes, 'n')) };
    };

    // Nested calls go first and take a negligible part of the links, so all of them are on time.
    Shares withFullKnowledge(uint64_t seed, Duration length)
    {
        const FakeClock clock;
        std::vector<Call> calls = makeCalls(seed, clock.now(), length);
        std::vector<TimePoint> freeAt(serverCount);
        Shares shares;
        std::erase_if(calls, [&shares](const Call& call) {
            shares.nested.offered += call.isNested ? 1 : 0;
            return call.isNested;
        });
        shares.nested.onTime = shares.nested.offered;
        std::sort(calls.begin(), calls.end(), [](const Call& left, const Call& right) {
            return left.arrival + left.service < right.arrival + right.service;
        });
        for (const Call& call : calls) {
            ++shares.downloads.offered;
            TimePoint& first = *std::min_element(freeAt.begin(), freeAt.end());
            const TimePoint sentAt = std::max(first, call.arrival + oneWay + call.service) + sendTime(call.bytes());
            if (sentAt + oneWay > call.onTimeBy)
                continue;
            ++shares.downloads.onTime;
            first = sentAt;
        }
        return shares;
    }

    void print(const char* rule, const Shares& shares)
    {
        std::printf("%-8s nested calls on time %.3f, downloads on time %.3f, late %.3f\n", rule, shares.nested.value(),
            shares.downloads.value(),
            static_cast<double>(shares.downloads.late) / static_cast<double>(shares.downloads.offered));
    }

    // Guards against a saturated link that makes both the large and the small responses late.
    TEST(LinkLoadTest, SaturatedLinksServeNestedCallsAndMostDownloads)
    {
        runWithSeeds(20431, [](uint64_t seed) {
            const Shares present = LinkSimulation(Rule::Present, seed, 20s).run();
            const Shares budgeted = LinkSimulation(Rule::New, seed, 20s).run();
            const Shares best = withFullKnowledge(seed, 20s);
            print("present", present);
            print("new", budgeted);
            print("best", best);
            EXPECT_LT(present.nested.value(), 0.3);
            EXPECT_LT(present.downloads.value(), 0.3);
            EXPECT_GT(budgeted.nested.value(), 0.98);
            EXPECT_GT(budgeted.downloads.value(), 0.9 * best.downloads.value());
        });
    }

} // namespace
} // namespace skylark
