// Measures single operations at the design size: 21,000 instances in 17 zones and 900 sections.
//
// Each line is the mean of several repetitions in microseconds, or a size in bytes. A trivial function builds the
// document, so the results cover distribution alone.
#include "base/Compression.h"
#include "base/Error.h"
#include "distribution/Distributor.h"

#include <cstdio>

namespace skylark {
namespace {

    constexpr size_t zoneCount = 17;
    constexpr size_t instanceCount = 21000;
    constexpr size_t sectionCount = 900;
    const TimePoint start { std::chrono::hours(1) };

    template <typename Work> void measure(const char* name, int repetitions, Work work)
    {
        const auto begin = std::chrono::steady_clock::now();
        for (int repetition = 0; repetition < repetitions; ++repetition)
            work();
        const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - begin;
        std::printf("%-58s %10.1f us\n", name, elapsed.count() / repetitions);
    }

    void printSize(const char* name, size_t bytes) { std::printf("%-58s %10zu bytes\n", name, bytes); }

    ZoneName zoneAt(size_t index)
    {
        return ZoneName("region-" + std::to_string(index % 8) + "-zone-" + std::to_string(index));
    }

    InstanceRecord recordAt(size_t index)
    {
        return { .id = InstanceId("worker-" + std::to_string(100000 + index)),
            .incarnation = Incarnation(1764800000 + index),
            .peer = { .host = "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250), .port = 7001 },
            .service = ServiceName("service-" + std::to_string(index % sectionCount)),
            .zone = zoneAt(index % zoneCount),
            .region = RegionName("region-" + std::to_string(index % zoneCount % 8)) };
    }

    ZoneInstanceList listOf(size_t zone, uint64_t revision)
    {
        ZoneInstanceList list { .zone = zoneAt(zone), .revision = Revision(revision) };
        for (size_t index = zone; index < instanceCount; index += zoneCount)
            list.instances.push_back(recordAt(index));
        return list;
    }

    // Returns about 5 KB of routes with varying names and numbers, like those of a real section.
    std::string textOf(size_t section, uint64_t edit)
    {
        std::string text;
        for (size_t route = 0; route < 20; ++route)
            text += R"({"name": "route-)" + std::to_string(section * 100 + route) + R"(", "host": "shop-)"
                + std::to_string(section) + R"(.example", "pathPrefix": "/api/v1/)" + std::to_string(route)
                + R"(", "methods": ["GET"], "service": "service-)" + std::to_string(section)
                + R"(", "rank": "urgent", "deadline": "800ms", "worth": )" + std::to_string(edit)
                + R"(, "idempotent": true, "retries": 2},)";
        return text;
    }

    class Document {
    public:
        Document()
        {
            for (size_t section = 0; section < sectionCount; ++section)
                edit(section, 0);
        }
        void edit(size_t section, uint64_t edit)
        {
            const SectionName name("section-" + std::to_string(section));
            m_texts[name] = textOf(section, edit);
            manifest.sections[name] = digestOf(m_texts[name]);
            manifest.version = VersionNumber(manifest.version.value() + 1);
        }
        std::vector<SectionText> texts() const
        {
            std::vector<SectionText> result;
            for (const auto& [name, text] : m_texts)
                result.push_back({ .name = name, .text = text });
            return result;
        }
        SectionText text(size_t section) const
        {
            const SectionName name("section-" + std::to_string(section));
            return { .name = name, .text = m_texts.at(name) };
        }
        Manifest manifest;

    private:
        std::map<SectionName, std::string> m_texts;
    };

    BuildFunction trivialBuild()
    {
        return [](const Manifest& manifest, const std::vector<SectionText>&) {
            return std::make_shared<const Configuration>(
                manifest, std::vector<RankPolicy> {}, std::map<ServiceName, ServicePolicy> {}, std::vector<Route> {});
        };
    }

    size_t wireSize(const PushVersion& push)
    {
        // Assumes 16-byte digests and short headers, as the msgpack codec writes them, and 60 bytes for the fixed
        // fields.
        size_t bytes = 60;
        for (const SectionDigest& changed : push.manifest.changed)
            bytes += changed.name.value().size() + 21;
        for (const CompressedSection& section : push.sections)
            bytes += section.name.value().size() + section.data.size() + 25;
        return bytes;
    }

    void benchMembership()
    {
        MembershipTable table { MembershipOptions {} };
        measure("apply the lists of all 17 zones", 1, [&] {
            for (size_t zone = 0; zone < zoneCount; ++zone)
                table.applyList(listOf(zone, 1), start);
        });
        table.publishIfChanged();
        bool isFailing = false;
        measure("rebuild the view of 21,000 instances", 50, [&] {
            isFailing = !isFailing;
            if (isFailing)
                table.observeFailure(recordAt(5).id, recordAt(5).incarnation, start);
            else
                table.observeSuccess(recordAt(5).id, recordAt(5).incarnation, start);
            table.publishIfChanged();
        });
        size_t next = 0;
        measure("note one success of a known instance", 100000, [&] {
            const InstanceRecord& record = table.view()->instances()[next++ % instanceCount].record;
            table.observeSuccess(record.id, record.incarnation, start);
        });
        ZoneInstanceList list = listOf(0, 2);
        list.instances[3].incarnation = Incarnation(1);
        uint64_t revision = 1;
        measure("apply a list delta with one change", 1000, [&] {
            ZoneListDelta delta {
                .zone = list.zone, .fromRevision = Revision(revision), .toRevision = Revision(revision + 1)
            };
            list.instances[3].incarnation = Incarnation(1764900000 + revision++);
            delta.upserts.push_back(list.instances[3]);
            table.applyDelta(delta, start);
        });
        measure("digest of the list revisions", 1000, [&] { table.listsDigest(); });
        const ZoneName zone = zoneAt(0);
        const InstanceId self = table.view()->ofZone(zone)[7]->record.id;
        ReaderSelector selector({}, self, zone, start);
        measure("rank of this node in its zone (1,236 members)", 200, [&] { selector.setView(*table.view()); });
        uint64_t seed = 0;
        measure("tree order and children in the own zone", 200,
            [&] { PushTree(*table.view(), zone, ++seed).childrenOf(self); });
        PushTracker tracker({}, self, zone);
        measure("begin a push as an interior node", 200,
            [&] { tracker.begin(table.view(), ++seed, {}, 1, PushOrigin::Parent, start); });
        measure("begin a push as the origin, to all 17 zones", 200,
            [&] { tracker.begin(table.view(), ++seed, {}, 0, PushOrigin::Source, start); });
    }

    void benchVersions()
    {
        Document document;
        VersionStore store({ .build = trivialBuild() });
        VersionStore follower({ .build = trivialBuild() });
        measure("assemble and apply a first version of 900 sections", 1,
            [&] { store.offer(document.manifest, document.texts(), start); });
        follower.offer(document.manifest, document.texts(), start);
        size_t edit = 1;
        measure("apply a version with one changed section", 100, [&] {
            document.edit(edit % sectionCount, edit);
            store.offer(document.manifest, { document.text(edit++ % sectionCount) }, start);
        });
        const auto previous = store.previous();
        const auto pushFrom = [&](VersionNumber baseVersion, const Digest& baseDigest) {
            PushVersion push { .manifest = store.deltaFrom(baseVersion, baseDigest) };
            if (push.manifest.baseVersion == VersionNumber())
                return push;
            for (const SectionDigest& section : push.manifest.changed)
                push.sections.push_back(
                    { .name = section.name, .digest = section.digest, .data = compress(*store.text(section.digest)) });
            return push;
        };
        measure("encode the push of one changed section", 200, [&] { pushFrom(previous.first, previous.second); });
        measure(
            "encode the push over 100 versions", 20, [&] { pushFrom(follower.base().first, follower.base().second); });
        printSize("text of one section", document.text(1).text.size());
        printSize("push of one changed section", wireSize(pushFrom(previous.first, previous.second)));
        printSize("push over 100 versions", wireSize(pushFrom(follower.base().first, follower.base().second)));
        printSize("push of a whole manifest without texts", wireSize(pushFrom(VersionNumber(99999), {})));
        std::string snapshot;
        measure("encode a snapshot of 900 sections", 5, [&] { snapshot = encodeSnapshot(store); });
        measure("decode a snapshot of 900 sections", 5, [&] { decodeSnapshot(snapshot); });
        printSize("snapshot of 900 sections", snapshot.size());
    }

    void benchDistributor()
    {
        Distributor node({ .self = recordAt(0), .parseManifest = {}, .versions = { .build = trivialBuild() } }, start);
        TimePoint now = start;
        node.start(now);
        for (size_t zone = 0; zone < zoneCount; ++zone)
            node.membership().applyList(listOf(zone, 1), now);
        measure("first tick with 21,000 instances", 1, [&] { node.tick(now); });
        measure("a tick at rest", 1000, [&] { node.tick(now += std::chrono::milliseconds(100)); });
        const InstanceRecord peer = recordAt(17);
        const PeerIdentity from { peer.id, peer.incarnation, peer.peer, peer.zone, peer.region };
        measure("handle a summary", 10000, [&] {
            node.handle(Summary { .listsDigest = node.membership().listsDigest(), .isReply = true }, from, now);
        });
    }

} // namespace
} // namespace skylark

int main()
{
    skylark::benchMembership();
    skylark::benchVersions();
    skylark::benchDistributor();
    return 0;
}
