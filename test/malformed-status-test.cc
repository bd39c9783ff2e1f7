// Responses of a target whose status is no status of HTTP. Guards against one that reaches the caller as a
// response, or that is waited on as if it were an interim one.
#include "node-fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using relay::test::callerRequest;
using relay::test::kUnusedAddress;
using relay::test::MemoryStore;
using relay::test::OneNode;
using relay::test::runUntil;
using relay::test::ScriptedTarget;
using relay::test::TargetResponse;

namespace {

namespace data = boost::unit_test::data;

constexpr char kRoutes[] = "5;book a.example /book/ books unsafe 5000 1";

const char* const kStatuses[] = { "000", "099", "-20", "+20", "20", "2000", "2x0", "0200", "OK", "" };

/// Where the malformed status stands.
struct Place {
    const char* name;
    const char* before;
    const char* after;
};

std::ostream& operator<<(std::ostream& out, const Place& place)
{
    return out << place.name;
}

const Place kPlaces[] = {
    { "final response", "", "" },
    { "after an interim response", "HTTP/1.1 100 Continue\r\n\r\n", "" },
    { "before a valid response", "", "HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nContent-Length: 2\r\n\r\nno" },
};

ScriptedTarget::Script respondWith(const char* status, const Place& place)
{
    return [bytes = absl::StrCat(place.before, "HTTP/1.1 ", status,
                " Status\r\nJackdaw-Seal: s\r\nContent-Length: 2\r\n\r\nok", place.after)](
               const Request&) { return TargetResponse { bytes }; };
}

} // namespace

BOOST_DATA_TEST_CASE(aMalformedStatusIsNoResponse, data::make(kStatuses) * data::make(kPlaces), status, place)
{
    OneNode one(kRoutes, respondWith(status, place));
    BOOST_TEST(one.call(http::verb::post, "/book/1", "r").response.result_int() == 502U);
}

BOOST_DATA_TEST_CASE(
    aMalformedStatusIsNoResponseOfAnotherNode, data::make(kStatuses) * data::make(kPlaces), status, place)
{
    asio::io_context loop;
    MemoryStore store(loop);
    ScriptedTarget target(loop, respondWith(status, place));
    relay::test::TestNode serving(loop, store, "n1", "books", target.address());
    relay::test::TestNode forwarding(loop, store, "n2", "shop", kUnusedAddress);
    store.set("configuration", "main", kRoutes);
    serving.start();
    forwarding.start();
    BOOST_REQUIRE_EQUAL(serving.heartbeat("/ready/t1/100/1"), 200U);
    forwarding.awaitReady();
    runUntil(loop, [&] { return forwarding.node->servingMemberCount() == 1; });
    const ExchangeResult result = forwarding.sendAndWait(
        forwarding.settings.callerAddress, callerRequest(http::verb::post, "/book/1", "r"));
    BOOST_TEST(result.response.result_int() == 502U);
}

BOOST_DATA_TEST_CASE(
    aMalformedStatusIsNoResponseInTheCatalogue, data::make(kStatuses) * data::make(kPlaces), status, place)
{
    asio::io_context loop;
    jackdawwall::test::FakeObjects objects(loop);
    ScriptedTarget target(loop, respondWith(status, place));
    jackdawwall::test::TestNode node(objects, "desk", target.address());
    BOOST_REQUIRE(node.apply(
        { { "work/read",
              R"({"owner":"o","class":"interactive","service":"desk","attempts":1,"repeat":"never"})" },
            { "caller/default", R"({"owner":"o"})" } },
        1));
    jackdawwall::test::Caller caller(loop);
    const ExchangeResult result = caller.call(node.address,
        { { "Jackdaw-Kind", "read" },
            { "Jackdaw-Request-Id", absl::StrCat("t", absl::ToUnixSeconds(absl::Now()), "-1") } });
    BOOST_TEST(result.response.result_int() == 502U);
    BOOST_TEST(headerValue(result.response, "Jackdaw-Outcome") == "unknown");
}

/// Also what a node takes from another node and from the store.
BOOST_DATA_TEST_CASE(
    anExchangeWithAMalformedStatusFails, data::make(kStatuses) * data::make(kPlaces), status, place)
{
    asio::io_context loop;
    ScriptedTarget server(loop, respondWith(status, place));
    UpstreamPool pool(loop);
    ExchangeRequest exchange;
    exchange.bytes = serializeRequest(callerRequest(http::verb::get, "/", "r"));
    std::optional<ExchangeResult> result;
    pool.send(parseEndpoint(server.address()), std::move(exchange),
        [&](ExchangeResult received) { result = std::move(received); });
    runUntil(loop, [&] { return result.has_value(); });
    BOOST_TEST((result->status == ExchangeStatus::Malformed));
}
