// Tests route matching: the compiled table must agree with a linear scan that implements the rule directly, and must
// not allocate on the request path.
#include "base/Invariant.h"
#include "base/Random.h"
#include "document/Configuration.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <gtest/gtest.h>
#include <new>
#include <rapidcheck.h>

namespace {

std::atomic<size_t> allocationCount { 0 };

void* countedAllocation(size_t size)
{
    ++allocationCount;
    if (void* memory = std::malloc(size ? size : 1))
        return memory;
    throw std::bad_alloc();
}

} // namespace

void* operator new(size_t size) { return countedAllocation(size); }
void* operator new[](size_t size) { return countedAllocation(size); }
// The standard library uses this overload for temporary buffers.
void* operator new(size_t size, const std::nothrow_t&) noexcept
{
    ++allocationCount;
    return std::malloc(size ? size : 1);
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete[](void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, size_t) noexcept { std::free(memory); }
void operator delete[](void* memory, size_t) noexcept { std::free(memory); }

namespace skylark {
namespace {

    // RapidCheck reads RC_PARAMS before its first check. A failure prints the parameters that reproduce it.
    const int isSeeded = setenv("RC_PARAMS", "seed=20260704 max_success=2000", 0);

    bool isHostEqual(std::string_view pattern, std::string_view host)
    {
        host = host.substr(0, host.find(':'));
        return std::equal(pattern.begin(), pattern.end(), host.begin(), host.end(),
            [](unsigned char left, unsigned char right) { return left == std::tolower(right); });
    }

    // Implements the matching rule of docs/design.md as a linear scan. The earlier of two equivalent routes wins.
    const Route* matchLinearly(
        const std::vector<Route>& routes, std::string_view host, std::string_view method, std::string_view path)
    {
        path = path.substr(0, path.find('?'));
        const Route* best = nullptr;
        const auto precedence = [](const Route& route) {
            return std::tuple(
                route.pathPrefix == "/" ? 0 : route.pathPrefix.size(), !route.host.empty(), !route.methods.empty());
        };
        for (const Route& route : routes) {
            const bool hasPrefix = route.pathPrefix == "/"
                ? path.starts_with('/')
                : path == route.pathPrefix || path.starts_with(route.pathPrefix + '/');
            const bool hasMethod = route.methods.empty()
                || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
            if (hasPrefix && hasMethod && (route.host.empty() || isHostEqual(route.host, host))
                && (!best || precedence(route) > precedence(*best)))
                best = &route;
        }
        return best;
    }

    Route routeOf(const std::string& host, const std::string& prefix, const std::vector<std::string>& methods)
    {
        Route route;
        route.name = host + prefix;
        route.host = host;
        route.pathPrefix = prefix;
        route.methods = methods;
        return route;
    }

    std::unique_ptr<const Configuration> configurationOf(std::vector<Route> routes)
    {
        return std::make_unique<const Configuration>(
            Manifest(), std::vector<RankPolicy>(), std::map<ServiceName, ServicePolicy>(), std::move(routes));
    }

    bool agreesOn(const Configuration& configuration, const char* host, const char* method, const char* path)
    {
        return configuration.match(host, method, path) == matchLinearly(configuration.routes(), host, method, path);
    }

    constexpr const char* requestHosts[] { "", "a", "A:80", "b", "c:1" };
    constexpr const char* requestMethods[] { "GET", "POST", "PUT" };
    constexpr const char* requestPaths[] { "/", "/p", "/p/", "/p/q", "/p/q/r?/p", "/p//q", "/pq", "/pqr", "/p?x=/q", "",
        "p", "*", "//p" };

    size_t countDisagreements(const std::vector<Route>& routes)
    {
        const auto configuration = configurationOf(routes);
        size_t count = 0;
        for (const char* host : requestHosts)
            for (const char* method : requestMethods)
                for (const char* path : requestPaths)
                    count += agreesOn(*configuration, host, method, path) ? 0 : 1;
        return count;
    }

    TEST(RouteTableTest, AgreesWithALinearScanOnAllSmallTables)
    {
        std::vector<Route> allRoutes;
        for (const char* host : { "", "a", "b" })
            for (const char* prefix : { "/", "/p", "/p/q", "/pq" })
                for (const std::vector<std::string>& methods : { std::vector<std::string>(),
                         std::vector<std::string> { "GET" }, std::vector<std::string> { "GET", "POST" } })
                    allRoutes.push_back(routeOf(host, prefix, methods));
        size_t count = countDisagreements({});
        for (size_t first = 0; first < allRoutes.size(); ++first) {
            count += countDisagreements({ allRoutes[first] });
            for (size_t second = 0; second < first; ++second) {
                count += countDisagreements({ allRoutes[first], allRoutes[second] });
                count += countDisagreements({ allRoutes[second], allRoutes[first] });
                for (size_t third = 0; third < second; ++third)
                    count += countDisagreements({ allRoutes[first], allRoutes[second], allRoutes[third] });
            }
        }
        EXPECT_EQ(count, 0u);
    }

    constexpr const char* segments[] { "p", "q", "pq", "%2F", "p.q" };
    constexpr const char* pathEnds[] { "", "/", "?p", "/p?/q" };
    constexpr const char* randomHosts[] { "", "a.example", "B.Example:8080", "c.example" };

    rc::Gen<std::string> anyPrefix()
    {
        return rc::gen::map(rc::gen::container<std::vector<std::string>>(
                                rc::gen::elementOf(std::vector<std::string>(std::begin(segments), std::end(segments)))),
            [](std::vector<std::string> parts) {
                std::string path;
                parts.resize(std::min<size_t>(parts.size(), 6));
                for (const std::string& part : parts)
                    path += '/' + part;
                return path.empty() ? "/" : path;
            });
    }

    rc::Gen<Route> anyRoute()
    {
        return rc::gen::map(
            rc::gen::tuple(rc::gen::element<std::string>("", "a.example", "b.example"), anyPrefix(),
                rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>("GET", "POST"))),
            [](const auto& parts) { return routeOf(std::get<0>(parts), std::get<1>(parts), std::get<2>(parts)); });
    }

    TEST(RouteTableTest, AgreesWithALinearScanOnRandomTables)
    {
        const bool isPassed = rc::check("the table agrees with a linear scan", [] {
            const auto routes = *rc::gen::container<std::vector<Route>>(anyRoute());
            const auto configuration = configurationOf(routes);
            // Requests are generated without RapidCheck, whose generators cost far more than the matches.
            Random random(*rc::gen::arbitrary<uint64_t>());
            for (int request = 0; request < 100; ++request) {
                std::string path;
                for (uint64_t segment = random.below(9); segment > 0; --segment)
                    path += std::string("/") + segments[random.below(std::size(segments))];
                path += pathEnds[random.below(std::size(pathEnds))];
                const char* host = randomHosts[random.below(std::size(randomHosts))];
                const char* method = requestMethods[random.below(std::size(requestMethods))];
                RC_ASSERT(configuration->match(host, method, path)
                    == matchLinearly(configuration->routes(), host, method, path));
            }
        });
        EXPECT_TRUE(isPassed);
    }

    TEST(RouteTableTest, MatchesWholeSegmentsOnly)
    {
        const auto configuration = configurationOf({ routeOf("", "/pitch", {}) });
        EXPECT_TRUE(configuration->match("h", "GET", "/pitch"));
        EXPECT_TRUE(configuration->match("h", "GET", "/pitch/3"));
        EXPECT_FALSE(configuration->match("h", "GET", "/pitches"));
    }

    TEST(RouteTableTest, MatchesTheLongestAndDeepestPrefixesThatADocumentAllows)
    {
        std::string deepest;
        for (int segment = 0; segment < 32; ++segment)
            deepest += "/s";
        const std::string longest = '/' + std::string(511, 'x');
        const auto configuration = configurationOf({ routeOf("", deepest, {}), routeOf("", longest, {}) });
        EXPECT_TRUE(configuration->match("", "GET", deepest + "/s/s"));
        EXPECT_TRUE(configuration->match("", "GET", longest + '/' + std::string(100'000, '/')));
        EXPECT_FALSE(configuration->match("", "GET", std::string(100'000, '/')));
        EXPECT_FALSE(configuration->match(std::string(10'000, 'h'), "GET", longest + 'x'));
    }

    // Guards against a prefix that match() never looks up, so that its requests would find no route.
    TEST(RouteTableTest, RejectsRoutesThatTheDocumentSchemaForbids)
    {
        EXPECT_THROW(configurationOf({ routeOf("", "/pitch/", {}) }), InvariantViolation);
        EXPECT_THROW(configurationOf({ routeOf("", "", {}) }), InvariantViolation);
        EXPECT_THROW(configurationOf({ routeOf("Host", "/", {}) }), InvariantViolation);
    }

    TEST(RouteTableTest, MatchDoesNotAllocate)
    {
        std::vector<Route> routes;
        for (int index = 0; index < 100; ++index)
            routes.push_back(routeOf("service" + std::to_string(index) + ".with-a-long-name.example",
                "/resources/of-a-long-name/" + std::to_string(index), { "GET", "POST" }));
        routes.push_back(routeOf("", "/", {}));
        const auto configuration = configurationOf(routes);
        const size_t allocationsBefore = allocationCount;
        size_t matched = 0;
        for (int repeat = 0; repeat < 100; ++repeat) {
            matched += configuration->match("Service7.with-a-long-name.example:8080", "POST",
                           "/resources/of-a-long-name/7/items/19?verbose=true")
                    == &configuration->routes()[7]
                ? 1
                : 0;
            matched += configuration->match("unknown-host.example", "GET", "/resources/of-a-long-name/7") ? 1 : 0;
        }
        const size_t allocations = allocationCount - allocationsBefore;
        EXPECT_EQ(allocations, 0u);
        EXPECT_EQ(matched, 200u);
        // Verifies that the counter records allocations.
        const size_t countBefore = allocationCount;
        EXPECT_EQ(std::string(100, 'x').size(), 100u);
        EXPECT_GT(allocationCount, countBefore);
    }

} // namespace
} // namespace skylark
