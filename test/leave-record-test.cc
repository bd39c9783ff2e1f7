// A leave that was acknowledged, after restarts of nodes in every order and with the store away meanwhile.
// Guards against a target that gets work again because the only copy of its leave was lost or replaced.
#include "relay/peer-message.h"
#include "store-fixture.h"

#include "absl/strings/match.h"
#include "absl/time/clock.h"

#include <boost/test/data/test_case.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr char kRoutes[] = "5;book a.example /book/ books unsafe 3000 1";

/// What happens to the nodes and the store.
enum Event : char {
    Leave = 'L', ///< The target leaves; the next event comes after the acknowledgement.
    RestartNode = 'N', ///< The node beside the target.
    RestartOther = 'O', ///< The other node.
    KillAll = 'K', ///< Both nodes end before one of them starts again.
    StopAll = 'S', ///< The same, as a planned stop.
    StoreDown = 'D',
    StoreUp = 'U',
};

/// True if an order ends all processes that know the leave while the store is away: no copy of it is left.
bool losesLeave(const std::string& order)
{
    const std::size_t leave = order.find(Leave);
    const std::size_t up = order.find(StoreUp);
    return order.find(StoreDown) < leave && leave < up && order.find_first_of("KS", leave) < up;
}

/// True if the target leaves while the store is away and no node knows another one: nobody acknowledges that.
bool isUnacknowledged(const std::string& order)
{
    const std::size_t down = order.find(StoreDown);
    const std::size_t leave = order.find(Leave);
    const std::size_t ended = order.find_first_of("KS", down);
    return down < leave && leave < order.find(StoreUp) && ended < leave;
}

/// All orders of events in which the store goes down before it comes up. Omits those in which both nodes
/// restart while the leave is nowhere else, as the nodes would not find each other; KillAll stands for them.
std::vector<std::string> ordersOf(std::string events)
{
    std::vector<std::string> orders;
    std::sort(events.begin(), events.end());
    do {
        const std::size_t down = events.find(StoreDown);
        const std::size_t up = events.find(StoreUp);
        const std::size_t leave = events.find(Leave);
        if (down > up || isUnacknowledged(events))
            continue;
        const bool isStoredAtOnce = leave < down || leave > up;
        const std::string whileDown = isStoredAtOnce ? "" : events.substr(leave, up - leave);
        if (!absl::StrContains(whileDown, RestartNode) || !absl::StrContains(whileDown, RestartOther))
            orders.push_back(events);
    } while (std::next_permutation(events.begin(), events.end()));
    return orders;
}

std::vector<std::string> allOrders()
{
    std::vector<std::string> orders = ordersOf("DLNNU");
    for (const char* events : { "DLNOU", "DLKU", "DLKKU", "DLSU" }) {
        for (const std::string& order : ordersOf(events))
            orders.push_back(order);
    }
    orders.insert(orders.end(), { "LNN", "LNON", "LONNO", "LNNN", "NLN", "NLNN", "ONLNON" });
    return orders;
}

std::uint64_t unixMillis()
{
    return static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now()));
}

struct Fleet {
    Fleet()
    {
        store.set("configuration", "main", kRoutes);
        node.settings.maxHeartbeatDelay = absl::Hours(1); // No heartbeat of a test is received too late.
        other.settings.maxHeartbeatDelay = absl::Hours(1);
        node.settings.confirmationTime = absl::Milliseconds(200);
        node.start();
        other.start();
        firstStart = unixMillis();
        BOOST_REQUIRE_EQUAL(heartbeat("ready", 1), 200U);
        runUntil(loop, [&] { return knowsEachOther(); });
    }

    bool knowsEachOther() const { return node.node->memberCount() == 2 && other.node->memberCount() == 2; }
    /// True when the nodes know each other and have heard from the store or each other.
    bool areConnected() { return knowsEachOther() && isHeard(node) && isHeard(other); }

    void restart(TestNode& restarted)
    {
        restarted.node.reset();
        restarted.start();
        // With the store away, nodes find each other through the one that did not restart.
        if (!isSeparated)
            runUntil(loop, [&] { return knowsEachOther() && isHeard(restarted); });
    }

    /// True when the node has heard from the store or the other node.
    bool isHeard(TestNode& restarted) const { return restarted.node->configurationVersion() > 0; }

    void restartAll(bool isPlanned)
    {
        if (isPlanned) {
            node.node->stop();
            other.node->stop();
            awaitNotServing();
        }
        node.node.reset();
        other.node.reset();
        node.start();
        other.start();
        loop.restart();
        loop.poll(); // Lets the client see that its connections are closed.
        isSeparated = store.isUnavailable;
        if (!isSeparated)
            runUntil(loop, [&] { return areConnected(); });
    }

    /// A message of the first lifetime.
    unsigned heartbeat(const char* kind, int sequence)
    {
        return node.heartbeat(absl::StrCat("/", kind, "/t1/", firstStart, "/", sequence));
    }

    void play(char event)
    {
        switch (event) {
        case Leave:
            BOOST_REQUIRE_EQUAL(heartbeat("leave", 0), 200U);
            hasLeft = true;
            break;
        case KillAll:
        case StopAll:
            restartAll(event == StopAll);
            break;
        case RestartNode:
            restart(node);
            break;
        case RestartOther:
            restart(other);
            break;
        case StoreDown:
            store.isUnavailable = true;
            break;
        default:
            store.isUnavailable = false;
            isSeparated = false;
            runUntil(loop, [&] { return areConnected() && (!hasLeft || isLost || isLeaveStored()); });
        }
    }

    bool isLeaveStored() { return absl::StrContains(store.content("nodes", "n1"), R"("leftTarget":"t1")"); }

    void awaitNotServing()
    {
        runUntil(loop, [&] { return !node.node->self().isServing; });
    }

    unsigned book()
    {
        return other
            .sendAndWait(other.settings.callerAddress, callerRequest(http::verb::post, "/book/1", "r"))
            .response.result_int();
    }

    void awaitBooking()
    {
        runUntil(loop, [&] { return book() == 200U; });
    }

    asio::io_context loop;
    MemoryStore store { loop };
    ScriptedTarget target { loop, ScriptedTarget::Script([](const Request& request) {
                               return TargetResponse { sealedResponse(request, "ok") };
                           }) };
    TestNode node { loop, store, "n1", "books", target.address() };
    TestNode other { loop, store, "n2", "shop", kUnusedAddress };
    std::uint64_t firstStart = 0; ///< Of the first lifetime.
    bool hasLeft = false;
    bool isLost = false; ///< See losesLeave.
    bool isSeparated = false; ///< The nodes don't know each other, as both started with the store away.
};

} // namespace

BOOST_DATA_TEST_CASE(aLeaveOutlivesEveryOrderOfEvents, boost::unit_test::data::make(allOrders()), order)
{
    Fleet fleet;
    fleet.isLost = losesLeave(order);
    for (const char event : order)
        fleet.play(event);
    BOOST_TEST((fleet.isLost || fleet.isLeaveStored()));
    // Sent before the leave, delivered now.
    for (const int sequence : { 8, 9, 7, 10 })
        BOOST_REQUIRE_EQUAL(fleet.heartbeat("ready", sequence), 200U);
    if (fleet.isLost) // These heartbeats are all that the node knows of the target.
        fleet.awaitNotServing();
    BOOST_TEST(!fleet.node.node->self().isServing);
    BOOST_TEST(fleet.book() == 503U);
    BOOST_TEST(fleet.target.requests.empty());
    BOOST_REQUIRE_EQUAL(fleet.node.heartbeat(absl::StrCat("/ready/t2/", unixMillis(), "/1")), 200U);
    fleet.awaitBooking();
}

// A write of an ended process that the store executes late, when a later process has recorded the leave.
BOOST_AUTO_TEST_CASE(aDelayedWriteDoesNotReplaceALaterOne)
{
    asio::io_context loop;
    HttpStore server(loop);
    platform::ObjectStore early(loop, server.address());
    platform::ObjectStore late(loop, server.address());
    std::string seenByDelayed;
    const auto update = [&](platform::ObjectStore& client, const MergeContent& merge) {
        bool isDone = false;
        client.port().update("nodes", "n1", merge, [&](const absl::StatusOr<StoredItem>& stored) {
            BOOST_TEST(stored.ok());
            isDone = true;
        });
        runUntil(loop, [&] { return isDone; });
    };
    update(early, [](const std::string&) { return R"({"run":1})"; });
    update(late, [](const std::string&) { return R"({"run":2,"leftTarget":"t1"})"; });
    update(early, [&](const std::string& previous) {
        seenByDelayed = previous;
        return R"({"run":3})";
    });
    BOOST_TEST(absl::StrContains(seenByDelayed, "leftTarget"), seenByDelayed);
}

// The leave of a target whose node has not heard from it since its own restart names no start.
BOOST_AUTO_TEST_CASE(aLeaveByIdAfterARestartBinds)
{
    Fleet fleet;
    fleet.restart(fleet.node);
    BOOST_REQUIRE_EQUAL(fleet.node.heartbeat("/leave/t1/0/0"), 200U);
    BOOST_REQUIRE_EQUAL(fleet.heartbeat("ready", 8), 200U);
    BOOST_REQUIRE_EQUAL(fleet.heartbeat("ready", 9), 200U);
    BOOST_TEST(fleet.book() == 503U);
}

// The same message again must not be acknowledged before the leave is stored.
BOOST_AUTO_TEST_CASE(aRepeatedLeaveIsNotAcknowledgedEarlier)
{
    Fleet fleet;
    fleet.other.node.reset();
    fleet.store.isUnavailable = true;
    const Request draining { http::verb::post, absl::StrCat("/draining/t1/", fleet.firstStart, "/2"), 11 };
    const auto first = fleet.node.send(fleet.node.settings.heartbeatAddress, draining);
    const auto second = fleet.node.send(fleet.node.settings.heartbeatAddress, draining);
    fleet.awaitNotServing();
    const int failed = fleet.store.failedUpdates;
    runUntil(fleet.loop, [&] { return fleet.store.failedUpdates > failed + 1; });
    BOOST_TEST(!first->has_value());
    BOOST_TEST(!second->has_value());
    fleet.store.isUnavailable = false;
    runUntil(fleet.loop, [&] { return first->has_value() && second->has_value(); });
    BOOST_TEST(fleet.isLeaveStored());
}

// A neighbour that lacks the leave must not be the only one that lives, and be asked by the restarted node.
BOOST_AUTO_TEST_CASE(aLeaveIsNotAcknowledgedBeforeAllNeighboursHaveIt)
{
    Fleet fleet;
    bool isSilent = false;
    std::vector<std::function<void()>> withheld;
    std::string address;
    ScriptedTarget slowNode(fleet.loop,
        ScriptedTarget::AsyncScript([&](const Request&, std::function<void(TargetResponse)> done) {
            PeerMessage message;
            message.runId = "slow";
            message.sender.peerAddress = address;
            message.sender.incarnation = 1;
            const std::string body = encodePeerMessage(message);
            const TargetResponse response { absl::StrCat(
                "HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body) };
            withheld.emplace_back([done = std::move(done), response] { done(response); });
            if (!isSilent)
                std::exchange(withheld, {}).front()();
        }));
    address = slowNode.address();
    fleet.node.node->addPeer(address);
    runUntil(fleet.loop, [&] { return slowNode.requests.size() > 1; });
    isSilent = true;
    fleet.store.isUnavailable = true;
    const int failed = fleet.store.failedUpdates;
    const auto leave = fleet.node.send(fleet.node.settings.heartbeatAddress,
        Request { http::verb::post, absl::StrCat("/leave/t1/", fleet.firstStart, "/0"), 11 });
    runUntil(fleet.loop, [&] { return fleet.store.failedUpdates > failed + 3; });
    BOOST_TEST(!leave->has_value());
    isSilent = false;
    for (const auto& reply : std::exchange(withheld, {}))
        reply();
    runUntil(fleet.loop, [&] { return leave->has_value(); });
}
