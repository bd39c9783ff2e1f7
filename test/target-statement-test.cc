// What a target says of itself in its responses, at the nodes that pass them on: values that can't be read,
// responses that don't count, and a restart of the target's node.
#include "relay-fixture.h"

#include "absl/strings/match.h"

#include <boost/test/data/test_case.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr char kRoutes[] = "5;read a.example /read/ books safe 5000 1";
constexpr int kCalls = 5;

/// A node with a target whose responses carry `headers`, and a node of another service that sends it calls.
struct Fleet {
    Fleet()
    {
        store.set("configuration", "main", kRoutes);
        serving.start();
        forwarding.start();
        BOOST_REQUIRE_EQUAL(serving.heartbeat("/ready/t1/100/1"), 200U);
        awaitAnswer();
    }

    unsigned call()
    {
        return forwarding
            .sendAndWait(forwarding.settings.callerAddress, callerRequest(http::verb::get, "/read/1", "r"))
            .response.result_int();
    }

    void awaitAnswer()
    {
        runUntil(loop, [&] { return call() == 200U; });
    }

    /// Sends calls at once and returns the statuses of the responses.
    std::vector<unsigned> callAtOnce()
    {
        std::vector<std::shared_ptr<std::optional<ExchangeResult>>> results;
        results.reserve(kCalls);
        for (int index = 0; index < kCalls; ++index)
            results.push_back(forwarding.send(
                forwarding.settings.callerAddress, callerRequest(http::verb::get, "/read/1", "r")));
        std::vector<unsigned> statuses;
        for (const auto& result : results) {
            runUntil(loop, [&] { return result->has_value(); });
            statuses.push_back((*result)->response.result_int());
        }
        return statuses;
    }

    asio::io_context loop;
    MemoryStore store { loop };
    std::string headers;
    int status = 200;
    ScriptedTarget target { loop, ScriptedTarget::Script([this](const Request& request) {
                               std::string response = sealedResponse(request, "ok", status);
                               response.insert(response.find("\r\n") + 2, headers);
                               return TargetResponse { response };
                           }) };
    TestNode serving { loop, store, "n1", "books", target.address() };
    TestNode forwarding { loop, store, "n2", "shop", kUnusedAddress };
};

struct HeaderRow {
    const char* name;
    std::string headers;
    bool limits;
};

std::ostream& operator<<(std::ostream& out, const HeaderRow& row)
{
    return out << row.name;
}

const HeaderRow kHeaders[] = {
    { "a limit", "Jackdaw-Limit: 0.5\r\n", true },
    { "empty", "Jackdaw-Limit: \r\n", false },
    { "text", "Jackdaw-Limit: some\r\n", false },
    { "negative", "Jackdaw-Limit: -0.5\r\n", false },
    { "infinite", "Jackdaw-Limit: inf\r\n", false },
    { "thousands of digits", "Jackdaw-Limit: " + std::string(9000, '1') + "\r\n", false },
    { "several values", "Jackdaw-Limit: 0.5\r\nJackdaw-Limit: 0.5\r\n", false },
    { "a header of nodes", "Jackdaw-Hop-Statement: 100,0,1,0,7431\r\n", false },
    { "leaving, with another value", "Jackdaw-Leaving: 0\r\n", false },
};

} // namespace

BOOST_DATA_TEST_CASE(onlyALimitThatCanBeReadBinds, boost::unit_test::data::make(kHeaders), row)
{
    Fleet fleet;
    fleet.headers = row.headers;
    BOOST_TEST(fleet.call() == 200U);
    const std::size_t before = fleet.target.requests.size();
    const std::vector<unsigned> statuses = fleet.callAtOnce();
    const auto answered = static_cast<int>(std::count(statuses.begin(), statuses.end(), 200U));
    BOOST_TEST((row.limits ? answered <= 1 : answered == kCalls));
    BOOST_TEST(static_cast<int>(fleet.target.requests.size() - before) == answered);
}

// The restarted node has no response of its target yet; the other node passes on what it knows with its
// calls.
BOOST_AUTO_TEST_CASE(aLimitOutlivesTheTargetsNode)
{
    Fleet fleet;
    fleet.headers = "Jackdaw-Limit: 0.5\r\n";
    BOOST_TEST(fleet.call() == 200U);
    fleet.serving.node.reset();
    fleet.serving.start();
    int sequence = 1;
    runUntil(fleet.loop, [&] {
        fleet.serving.heartbeat(absl::StrCat("/ready/t1/100/", ++sequence));
        return fleet.serving.node->self().isServing;
    });
    const std::size_t before = fleet.target.requests.size();
    for (int round = 0; round < kCalls; ++round)
        static_cast<void>(fleet.callAtOnce());
    BOOST_TEST(fleet.target.requests.size() - before <= 1U);
}

// The limit is that of a lifetime. A later one at the same address names its own.
BOOST_AUTO_TEST_CASE(aLimitEndsWithItsLifetime)
{
    Fleet fleet;
    fleet.headers = "Jackdaw-Limit: 0.5\r\n";
    BOOST_TEST(fleet.call() == 200U);
    fleet.headers.clear();
    BOOST_REQUIRE_EQUAL(fleet.serving.heartbeat("/ready/t2/200/1"), 200U);
    for (const unsigned status : fleet.callAtOnce())
        BOOST_TEST(status == 200U);
}

// A response of another target at the address says nothing about the one that was called.
BOOST_AUTO_TEST_CASE(aMisdirectedResponseSaysNothing)
{
    Fleet fleet;
    fleet.headers = "Jackdaw-Limit: 0.5\r\nJackdaw-Leaving: 1\r\n";
    fleet.status = 421;
    BOOST_TEST(fleet.call() == 503U);
    fleet.headers.clear();
    fleet.status = 200;
    for (const unsigned status : fleet.callAtOnce())
        BOOST_TEST(status == 200U);
}

// A header that only nodes may send is taken from no client.
BOOST_AUTO_TEST_CASE(aClientCannotSpeakForATarget)
{
    Fleet fleet;
    Request request = callerRequest(http::verb::get, "/read/1", "r");
    setHeader(request, kStatementHeader, "100,0,1,0.1,7431");
    BOOST_TEST(
        fleet.forwarding.sendAndWait(fleet.forwarding.settings.callerAddress, request).response.result_int()
        == 200U);
    for (const unsigned status : fleet.callAtOnce())
        BOOST_TEST(status == 200U);
}

// The same belief as a leave by heartbeat: recorded in the store, and known after a restart.
BOOST_AUTO_TEST_CASE(aLeaveInAResponseIsRecorded)
{
    Fleet fleet;
    fleet.headers = "Jackdaw-Leaving: 1\r\n";
    BOOST_TEST(fleet.call() == 200U);
    BOOST_TEST(fleet.call() == 503U);
    runUntil(fleet.loop,
        [&] { return absl::StrContains(fleet.store.content("nodes", "n1"), R"("leftTarget":"t1")"); });
    BOOST_REQUIRE_EQUAL(fleet.serving.heartbeat("/ready/t1/100/9"), 200U);
    BOOST_TEST(fleet.call() == 503U);
    fleet.headers.clear();
    BOOST_REQUIRE_EQUAL(fleet.serving.heartbeat("/ready/t2/200/1"), 200U);
    fleet.awaitAnswer();
}
