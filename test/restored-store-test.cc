// A store that comes back from a copy some seconds old. Guards against configurations and leaves that were
// acknowledged, and are lost or never heard of, because revisions are given out again.
#include "store-fixture.h"

#include "absl/strings/match.h"
#include "absl/time/clock.h"

#include <boost/test/data/test_case.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

std::string configuration(int version)
{
    return absl::StrCat(R"({"version":)", version,
        R"(,"routes":[{"name":"read","host":"a.example","prefix":"/read/","service":"books","kind":"safe",)",
        R"("timeout_ms":3000,"attempts":1,"priority":1}]})");
}

/// Nodes on the platform's store; the first has the target.
struct Fleet {
    explicit Fleet(std::size_t size = 2)
    {
        configure(5);
        for (std::size_t index = 0; index < size; ++index)
            add();
        startAll();
        BOOST_REQUIRE_EQUAL(heartbeat(1), 200U);
        runUntil(loop, [&] { return nodes[0]->node->self().isServing; });
    }

    void add()
    {
        const std::string name = absl::StrCat("n", nodes.size());
        nodes.push_back(std::make_unique<TestNode>(
            loop, store, name, "books", nodes.empty() ? target.address() : std::string(kUnusedAddress)));
        nodes.back()->settings.watchers = 1;
        clients.push_back(std::make_unique<platform::ObjectStore>(loop, http.address()));
        usePlatformStore(*nodes.back(), *clients.back());
        nodes.back()->port.configurationKind = "config";
        nodes.back()->port.nodeKind = "nodes";
    }

    void startAll()
    {
        for (const auto& node : nodes)
            node->start();
        runUntil(loop, [&] { return areConnected(); });
    }

    bool areConnected() const
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
            return node->node->memberCount() == nodes.size() && node->node->configurationVersion() > 0;
        });
    }

    void killAll()
    {
        for (const auto& node : nodes)
            node->node.reset();
        loop.restart();
        loop.poll(); // Lets the client see that its connections are closed.
    }

    void configure(int version) { http.set("config", "main", configuration(version)); }

    void awaitVersion(RouteVersion version)
    {
        runUntil(loop, [&] {
            return std::all_of(nodes.begin(), nodes.end(),
                [&](const auto& node) { return node->node->configurationVersion() == version; });
        });
    }

    unsigned heartbeat(int sequence)
    {
        return nodes[0]->heartbeat(absl::StrCat("/ready/t1/", startedAt, "/", sequence));
    }

    void leave()
    {
        BOOST_REQUIRE_EQUAL(nodes[0]->heartbeat(absl::StrCat("/leave/t1/", startedAt, "/0")), 200U);
        runUntil(loop, [&] { return isLeaveStored(); });
    }

    bool isLeaveStored() const
    {
        return absl::StrContains(http.content("nodes", "n0"), R"("leftTarget":"t1")");
    }

    /// A watch waits for the changes after the store's present revision.
    void awaitWatch()
    {
        runUntil(loop, [&] { return http.watching() > 0; });
    }

    asio::io_context loop;
    MemoryStore store { loop }; ///< Not used: the nodes' port is that of `http`.
    HttpStore http { loop };
    ScriptedTarget target { loop, ScriptedTarget::Script([](const Request& request) {
                               return TargetResponse { sealedResponse(request, "ok") };
                           }) };
    std::vector<std::unique_ptr<TestNode>> nodes;
    std::vector<std::unique_ptr<platform::ObjectStore>> clients;
    /// Long before the nodes, so that the start of the target proves nothing about leaves.
    std::uint64_t startedAt = absl::ToUnixMillis(absl::Now() - absl::Hours(1));
};

struct RevisionRow {
    const char* name;
    int lost; ///< Changes after the copy.
    int writtenAgain; ///< Changes before the first read, the last of which is a new version.
    int restores;
};

std::ostream& operator<<(std::ostream& out, const RevisionRow& row)
{
    return out << row.name;
}

const RevisionRow kRevisions[] = {
    { "the new version has a lower revision", 3, 2, 1 },
    { "the new version has the revision of the last watch", 3, 3, 1 },
    { "the new version has a higher revision", 3, 4, 1 },
    { "one change lost and written again", 1, 1, 1 },
    { "two restores in series", 3, 3, 2 },
    { "three restores in series", 2, 2, 3 },
};

} // namespace

// A watch that goes on from a revision of before does not report what was given the same one again.
BOOST_DATA_TEST_CASE(aVersionIsInForceAfterARestore, boost::unit_test::data::make(kRevisions), row)
{
    Fleet fleet(1); // Several may be saved by one that happens to list instead.
    const HttpStore::Copy copy = fleet.http.copy();
    int version = 5;
    for (int change = 0; change < row.lost; ++change)
        fleet.configure(++version);
    fleet.awaitVersion(static_cast<RouteVersion>(version));
    for (int restore = 0; restore < row.restores; ++restore) {
        fleet.awaitWatch();
        fleet.http.isUnavailable = true;
        fleet.http.restore(copy);
        // What the operator wrote last is written again, and a new version comes.
        for (int change = 1; change < row.writtenAgain; ++change)
            fleet.configure(version);
        fleet.configure(++version);
        fleet.http.isUnavailable = false;
        fleet.awaitVersion(static_cast<RouteVersion>(version));
    }
}

// A version of the copy, older than the one in force, is not applied.
BOOST_AUTO_TEST_CASE(anOlderVersionOfTheCopyIsNotApplied)
{
    Fleet fleet;
    const HttpStore::Copy copy = fleet.http.copy();
    fleet.configure(6);
    fleet.awaitVersion(6);
    fleet.awaitWatch();
    fleet.http.restore(copy);
    fleet.awaitWatch();
    for (const auto& node : fleet.nodes)
        BOOST_TEST(node->node->configurationVersion() == 6U);
}

// The leave was acknowledged because the store had it.
BOOST_AUTO_TEST_CASE(aLeaveIsWrittenAgainAfterARestore)
{
    Fleet fleet;
    const HttpStore::Copy copy = fleet.http.copy();
    fleet.leave();
    fleet.awaitWatch();
    fleet.http.restore(copy);
    BOOST_TEST(!fleet.isLeaveStored());
    runUntil(fleet.loop, [&] { return fleet.isLeaveStored(); });
    fleet.killAll();
    fleet.startAll();
    for (const int sequence : { 8, 9, 10 })
        BOOST_REQUIRE_EQUAL(fleet.heartbeat(sequence), 200U);
    BOOST_TEST(!fleet.nodes[0]->node->self().isServing);
}

// Nodes that start later find the others by their records.
BOOST_AUTO_TEST_CASE(allNodesAreRegisteredAfterARestore)
{
    Fleet fleet(1);
    const HttpStore::Copy copy = fleet.http.copy();
    fleet.add();
    fleet.add();
    for (std::size_t node = 1; node < fleet.nodes.size(); ++node)
        fleet.nodes[node]->start();
    runUntil(fleet.loop, [&] { return fleet.areConnected(); });
    fleet.awaitWatch();
    fleet.http.restore(copy);
    runUntil(fleet.loop, [&] {
        return !fleet.http.content("nodes", "n1").empty() && !fleet.http.content("nodes", "n2").empty();
    });
}

// All nodes end while the store is away, before one of them can write the leave again. The record that they
// find is no proof that the target has not left.
BOOST_AUTO_TEST_CASE(aRecordOfACopyIsNoHistory)
{
    Fleet fleet;
    const HttpStore::Copy copy = fleet.http.copy();
    fleet.leave();
    fleet.killAll();
    fleet.http.restore(copy);
    for (const auto& node : fleet.nodes)
        node->settings.maxHeartbeatDelay = absl::Seconds(5);
    fleet.startAll();
    BOOST_REQUIRE_EQUAL(fleet.heartbeat(8), 200U);
    BOOST_TEST(!fleet.nodes[0]->node->self().isServing);
}
