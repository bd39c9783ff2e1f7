// Tests of the few nodes that watch the store on behalf of all: how the others follow the configuration, and
// how a starting node finds the others by reads that may be stale.
#include "relay-fixture.h"

#include <algorithm>
#include <vector>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr char kVersion5[] = "5;read a.example /read/ books safe 3000 1";
constexpr char kVersion6[] = "6;read a.example /read/ books safe 3000 1";
constexpr char kVersion7[] = "7;read a.example /read/ books safe 3000 1";

/// Nodes of which one watches; each can be turned away by the store on its own.
struct Fleet {
    explicit Fleet(std::size_t size)
        : isTurnedAway(size, false)
    {
        store.set("configuration", "main", kVersion5);
        for (std::size_t index = 0; index < size; ++index) {
            nodes.push_back(
                std::make_unique<TestNode>(loop, store, absl::StrCat("n", index), "books", kUnusedAddress));
            nodes.back()->settings.watchers = 1;
            turnAwayWhenMarked(nodes.back()->port.store, index);
        }
    }

    void turnAwayWhenMarked(ObjectStorePort& port, std::size_t index)
    {
        const ObjectStorePort reached = port;
        const auto fail = [this](auto done) {
            asio::post(loop, [done] { done(absl::UnavailableError("turned away")); });
        };
        port.list
            = [this, index, reached, fail](const StoreKind& kind, ReadConsistency consistency, auto done) {
                  isTurnedAway[index] ? fail(done) : reached.list(kind, consistency, done);
              };
        port.update = [this, index, reached, fail](const StoreKind& kind, const std::string& name,
                          const MergeContent& merge, auto done) {
            isTurnedAway[index] ? fail(done) : reached.update(kind, name, merge, done);
        };
        port.watch = [this, index, reached, fail](
                         const StoreKind& kind, StoreRevision after, const WatchTiming& wait, auto done) {
            isTurnedAway[index] ? fail(done) : reached.watch(kind, after, wait, done);
        };
    }

    void start()
    {
        for (const auto& node : nodes)
            node->start();
    }

    void awaitVersion(RouteVersion version)
    {
        runUntil(loop, [&] {
            return std::all_of(nodes.begin(), nodes.end(),
                [&](const auto& node) { return node->node->configurationVersion() == version; });
        });
    }

    std::size_t watcher() const
    {
        const auto found = std::find_if(
            nodes.begin(), nodes.end(), [](const auto& node) { return node->node->rank() == 0; });
        return static_cast<std::size_t>(found - nodes.begin());
    }

    asio::io_context loop;
    MemoryStore store { loop };
    std::vector<bool> isTurnedAway;
    std::vector<std::unique_ptr<TestNode>> nodes;
};

} // namespace

BOOST_AUTO_TEST_CASE(oneWatcherCarriesTheConfigurationToAllNodes)
{
    Fleet fleet(5);
    fleet.start();
    fleet.awaitVersion(5);
    fleet.store.set("configuration", "main", kVersion6); // Ends the watches of nodes that started alone.
    fleet.awaitVersion(6);
    runUntil(fleet.loop, [&] { return fleet.store.watching("configuration") == 1; });
    const int reads = fleet.store.reads["configuration"];
    fleet.store.set("configuration", "main", kVersion7);
    fleet.awaitVersion(7);
    BOOST_TEST(fleet.store.reads["configuration"] == reads);
}

BOOST_AUTO_TEST_CASE(anotherNodeTakesOverFromAWatcherThatTheStoreTurnsAway)
{
    Fleet fleet(4);
    fleet.start();
    fleet.awaitVersion(5);
    fleet.store.set("configuration", "main", kVersion6);
    fleet.awaitVersion(6);
    runUntil(fleet.loop, [&] { return fleet.store.watching("configuration") == 1; });
    const std::size_t first = fleet.watcher();
    fleet.isTurnedAway[first] = true;
    fleet.store.set("nodes", "wake", "{}");
    fleet.store.set("configuration", "main", kVersion7); // Delivered; the next watch fails.
    runUntil(fleet.loop, [&] { return !fleet.nodes[first]->node->self().canReachStore; });
    runUntil(fleet.loop, [&] { return fleet.store.watching("configuration") == 1; });
    fleet.store.set("configuration", "main", "8;read a.example /read/ books safe 3000 1");
    fleet.awaitVersion(8);
}

BOOST_AUTO_TEST_CASE(aNodeThatOthersDoNotKnowReadsTheConfigurationItself)
{
    Fleet fleet(1);
    fleet.start();
    fleet.awaitVersion(5);
}

BOOST_AUTO_TEST_CASE(aStaleListingIsReadAgainUntilItShowsTheNodesOwnRecord)
{
    Fleet fleet(2);
    int staleReads = 0;
    for (const auto& node : fleet.nodes) {
        const auto list = node->port.store.list;
        node->port.store.list = [&, list](const StoreKind& kind, ReadConsistency consistency,
                                    const std::function<void(absl::StatusOr<StoreListing>)>& done) {
            const bool isOutdated
                = kind == "nodes" && consistency == ReadConsistency::Stale && ++staleReads <= 3;
            if (isOutdated)
                asio::post(fleet.loop, [done] { done(StoreListing {}); });
            else
                list(kind, consistency, done);
        };
    }
    fleet.start();
    for (const auto& node : fleet.nodes)
        runUntil(fleet.loop, [&] { return node->node->memberCount() == 2; });
    BOOST_TEST(staleReads > 3);
}

BOOST_AUTO_TEST_CASE(aNodeReportsThatItReachesTheStoreAgain)
{
    Fleet fleet(2);
    fleet.isTurnedAway[1] = true;
    fleet.start();
    runUntil(fleet.loop, [&] { return !fleet.nodes[1]->node->self().canReachStore; });
    fleet.isTurnedAway[1] = false;
    runUntil(fleet.loop, [&] { return fleet.nodes[1]->node->self().canReachStore; });
}
