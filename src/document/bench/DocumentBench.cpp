// Benchmarks a document of the design size: 900 sections with one service and three routes each.
#include "document/tests/SyntheticDocument.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <malloc.h>

namespace skylark {
namespace {

    constexpr size_t sectionCount = 900;
    constexpr size_t routesPerSection = 3;

    const std::vector<SectionText>& designTexts()
    {
        static const std::vector<SectionText> texts = syntheticDocument(sectionCount, routesPerSection);
        return texts;
    }

    std::shared_ptr<const Configuration> designConfiguration()
    {
        return std::get<0>(buildConfiguration(manifestOf(VersionNumber(1), designTexts()), designTexts()));
    }

    size_t heapBytes()
    {
        const struct mallinfo2 info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    void fullBuild(benchmark::State& state)
    {
        const Manifest manifest = manifestOf(VersionNumber(1), designTexts());
        for (auto _ : state)
            benchmark::DoNotOptimize(buildConfiguration(manifest, designTexts()));
    }
    BENCHMARK(fullBuild)->Unit(benchmark::kMillisecond);

    // Each iteration changes one section, like a typical accepted change.
    void incrementalBuild(benchmark::State& state)
    {
        std::vector<SectionText> texts = designTexts();
        SectionCache cache;
        std::shared_ptr<const Configuration> current;
        uint64_t version = 0;
        for (auto _ : state) {
            state.PauseTiming();
            SectionText& text = texts[1 + version % sectionCount];
            text = syntheticSection(text.name.value(), 1 + version % routesPerSection);
            const Manifest manifest = manifestOf(VersionNumber(++version), texts);
            state.ResumeTiming();
            current = std::get<0>(buildConfiguration(manifest, texts, cache));
        }
    }
    BENCHMARK(incrementalBuild)->Unit(benchmark::kMillisecond)->Iterations(1000);

    void memory(benchmark::State& state)
    {
        designTexts();
        for (auto _ : state) {
            const size_t bytesBefore = heapBytes();
            auto configuration = designConfiguration();
            const size_t bytesWithConfiguration = heapBytes();
            SectionCache cache;
            auto cachedBuild = buildConfiguration(manifestOf(VersionNumber(1), designTexts()), designTexts(), cache);
            const size_t bytesWithCache = heapBytes();
            const size_t configurationBytes = bytesWithConfiguration - bytesBefore;
            state.counters["configurationBytes"] = static_cast<double>(configurationBytes);
            state.counters["cacheBytes"]
                = static_cast<double>(bytesWithCache - bytesWithConfiguration - configurationBytes);
        }
        size_t textBytes = 0;
        for (const SectionText& text : designTexts())
            textBytes += text.text.size();
        state.counters["textBytes"] = static_cast<double>(textBytes);
    }
    BENCHMARK(memory)->Iterations(1)->Unit(benchmark::kMillisecond);

    std::vector<std::string> hostsOf(const Configuration& configuration)
    {
        std::vector<std::string> hosts;
        for (const Route& route : configuration.routes())
            hosts.push_back(route.host);
        return hosts;
    }

    void compiledMatch(benchmark::State& state)
    {
        const auto configuration = designConfiguration();
        const std::vector<std::string> hosts = hostsOf(*configuration);
        size_t request = 0;
        for (auto _ : state)
            benchmark::DoNotOptimize(
                configuration->match(hosts[request++ * 7 % hosts.size()], "GET", "/api/v1/resource1/items/17?x=1"));
    }
    BENCHMARK(compiledMatch);

    // Baseline for compiledMatch: a linear scan over all routes.
    void linearMatch(benchmark::State& state)
    {
        const auto configuration = designConfiguration();
        const std::vector<std::string> hosts = hostsOf(*configuration);
        const std::string path = "/api/v1/resource1/items/17";
        size_t request = 0;
        for (auto _ : state) {
            const std::string& host = hosts[request++ * 7 % hosts.size()];
            benchmark::DoNotOptimize(std::find_if(configuration->routes().begin(), configuration->routes().end(),
                [&](const Route& route) { return route.host == host && path.starts_with(route.pathPrefix); }));
        }
    }
    BENCHMARK(linearMatch);

} // namespace
} // namespace skylark

BENCHMARK_MAIN();
