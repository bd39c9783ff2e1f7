// Tests of a node on the event loop with real ports: responses, refusals, leaving targets, planned stops and
// configuration.
#include "relay-fixture.h"

#include <boost/test/data/test_case.hpp>

#include <thread>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr char kRoutes[]
    = "5;read a.example /read/ books safe 3000 1;book a.example /book/ books unsafe 3000 1;"
      "short a.example /short/ books safe 200 1";

std::optional<TargetResponse> respondOk(const Request& request)
{
    return TargetResponse { sealedResponse(request, "body of " + std::string(request.target())), false,
        false };
}

/// A node with a target, and a node of another service that forwards calls to it.
struct TwoNodes {
    TwoNodes()
    {
        store.set("configuration", "main", kRoutes);
        serving.start();
        forwarding.start();
        BOOST_REQUIRE_EQUAL(serving.heartbeat("/ready/t1/100/1"), 200U);
        awaitSuccess();
    }

    ExchangeResult callViaForwardingNode()
    {
        return forwarding.sendAndWait(
            forwarding.settings.callerAddress, callerRequest(http::verb::get, "/read/1", "r"));
    }

    void awaitSuccess()
    {
        runUntil(loop, [&] { return callViaForwardingNode().response.result_int() == 200; });
    }

    asio::io_context loop;
    MemoryStore store { loop };
    ScriptedTarget target { loop, respondOk };
    TestNode serving { loop, store, "n1", "books", target.address() };
    TestNode forwarding { loop, store, "n2", "shop", kUnusedAddress };
};

struct ResponseCase {
    const char* name;
    std::string bytes; ///< "{id}" stands for the request's id.
    bool closesConnection;
    bool resetsConnection;
    unsigned status;
};

std::ostream& operator<<(std::ostream& out, const ResponseCase& responseCase)
{
    return out << responseCase.name;
}

const ResponseCase kResponseCases[] = {
    { "whole", "HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nContent-Length: 2\r\n\r\nok", false, false, 200 },
    { "chunked",
        "HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false,
        false, 200 },
    { "ended by closing the connection", "HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\n\r\nok", true, false, 200 },
    { "interim response first",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nContent-Length: 2\r\n\r\nok",
        false, false, 200 },
    { "late response to another request first",
        "HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nJackdaw-Request-Id: old\r\nContent-Length: 3\r\n\r\nold"
        "HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nJackdaw-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nok",
        false, false, 200 },
    { "error response of the target", "HTTP/1.1 500 X\r\nJackdaw-Seal: s\r\nContent-Length: 0\r\n\r\n", false,
        false, 500 },
    { "truncated body", "HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nContent-Length: 9\r\n\r\nok", true, false,
        502 },
    { "truncated chunks",
        "HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, false,
        502 },
    { "ended by a connection reset", "HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\n\r\nok", false, true, 502 },
    { "without seal", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, false, 502 },
    { "with a content encoding",
        "HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", false,
        false, 502 },
    { "not HTTP", "what is this\r\n\r\n", true, false, 502 },
    { "empty", "", true, false, 502 },
    { "not run", "HTTP/1.1 503 X\r\nJackdaw-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false, false, 503 },
    { "expected another target", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", false, false, 503 },
};

std::string withId(std::string bytes, const Request& request)
{
    const std::size_t position = bytes.find("{id}");
    if (position != std::string::npos)
        bytes.replace(position, 4, std::string(headerValue(request, "Jackdaw-Request-Id")));
    return bytes;
}

} // namespace

BOOST_DATA_TEST_CASE(classifiesResponsesOfATarget, boost::unit_test::data::make(kResponseCases), responseCase)
{
    OneNode one(kRoutes, [&](const Request& request) {
        return TargetResponse { withId(responseCase.bytes, request), responseCase.closesConnection,
            responseCase.resetsConnection };
    });
    const ExchangeResult result = one.call(http::verb::post, "/book/1", "r1");
    BOOST_TEST((result.status == ExchangeStatus::Complete));
    BOOST_TEST(result.response.result_int() == responseCase.status);
    if (responseCase.status == 200)
        BOOST_TEST(result.response.body() == "ok");
    BOOST_TEST(one.target.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(discardsASecondResponse)
{
    OneNode one(kRoutes, [](const Request& request) {
        return TargetResponse { sealedResponse(request, "one") + sealedResponse(request, "two"), false,
            false };
    });
    BOOST_TEST(one.call(http::verb::get, "/read/1", "r1").response.body() == "one");
    BOOST_TEST(one.call(http::verb::get, "/read/2", "r2").response.body() == "one");
    BOOST_TEST(one.target.connectionsOpened == 2);
}

BOOST_AUTO_TEST_CASE(countsCallOutcomesInMetrics)
{
    OneNode one(kRoutes, respondOk);
    one.call(http::verb::get, "/read/1", "r1");
    one.node.heartbeat("/draining/t1/100/2");
    one.call(http::verb::get, "/read/1", "r2");
    const std::string text
        = one.node.sendAndWait(one.node.settings.operatorAddress, Request { http::verb::get, "/metrics", 11 })
              .response.body();
    BOOST_TEST(text.find("outcome=\"ok\",reason=\"none\"} 1") != std::string::npos);
    BOOST_TEST(text.find("outcome=\"not-run\"") != std::string::npos);
    BOOST_TEST(text.find("jackdaw_offers_total{class=\"browse\",outcome=\"ok\",reason=\"none\"} 1")
        != std::string::npos);
    BOOST_TEST(text.find("jackdaw_configuration_version 5") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(sendsRequestAndContextToTheTarget)
{
    OneNode one(kRoutes, respondOk);
    Request request = callerRequest(http::verb::post, "/book/1?x=%20", "r1", "some body");
    request.set("X-Own", "kept");
    request.set("Jackdaw-Caller", "forged");
    request.set(http::field::connection, "X-Hop");
    request.set("X-Hop", "dropped");
    const ExchangeResult result = one.node.sendAndWait(one.node.settings.callerAddress, request);
    BOOST_TEST(result.response.body() == "body of /book/1?x=%20");
    const Request& received = one.target.requests.at(0);
    BOOST_TEST(received.body() == "some body");
    BOOST_TEST(headerValue(received, "X-Own") == "kept");
    BOOST_TEST(headerValue(received, "X-Hop").empty());
    BOOST_TEST(headerValue(received, "Jackdaw-Caller") == "books");
    BOOST_TEST(headerValue(received, "Jackdaw-Expect-Target") == "t1");
    BOOST_TEST(headerValue(received, "Jackdaw-Request-Id") == "r1");
    const std::int64_t remaining = integerHeader(received, "Jackdaw-Time-Left-Ms", -1);
    BOOST_TEST((remaining > 0 && remaining <= 3000));
}

BOOST_AUTO_TEST_CASE(respondsToPipelinedRequestsInOrder)
{
    int seen = 0;
    OneNode one(kRoutes,
        [&](const Request& request) { // The first gets no response and times out, while the second gets one.
            return ++seen == 1 ? std::optional<TargetResponse>() : respondOk(request);
        });
    Tcp::socket socket(one.loop);
    socket.connect(parseEndpoint(one.node.settings.callerAddress));
    const std::string both = serializeRequest(callerRequest(http::verb::get, "/short/1", "r1"))
        + serializeRequest(callerRequest(http::verb::get, "/read/2", "r2"));
    asio::write(socket, asio::buffer(both));
    beast::flat_buffer buffer;
    std::vector<Response> responses(2);
    int done = 0;
    http::async_read(socket, buffer, responses[0], [&](beast::error_code error, std::size_t) {
        BOOST_TEST(!error);
        ++done;
        http::async_read(socket, buffer, responses[1], [&](beast::error_code second, std::size_t) {
            BOOST_TEST(!second);
            ++done;
        });
    });
    runUntil(one.loop, [&] { return done == 2; });
    BOOST_TEST(responses[0].result_int() == 504U);
    BOOST_TEST(responses[1].body() == "body of /read/2");
}

BOOST_AUTO_TEST_CASE(closesTargetConnectionWhenTheCallerDisconnects)
{
    OneNode one(kRoutes, [](const Request&) { return std::optional<TargetResponse>(); });
    const auto result
        = one.node.send(one.node.settings.callerAddress, callerRequest(http::verb::get, "/read/1", "r1"));
    runUntil(one.loop, [&] { return one.target.requests.size() == 1; });
    one.node.lastConnection->cancel();
    runUntil(one.loop, [&] { return one.target.connectionsClosedByPeer == 1; });
}

BOOST_AUTO_TEST_CASE(appliesTheRouteTimeout)
{
    OneNode one(kRoutes, [](const Request&) { return std::optional<TargetResponse>(); });
    BOOST_TEST(one.call(http::verb::get, "/short/1", "r1").response.result_int() == 504U);
    BOOST_TEST(one.target.connectionsClosedByPeer == 1);
}

BOOST_AUTO_TEST_CASE(respondsUnavailableWithoutAConfiguration)
{
    asio::io_context loop;
    MemoryStore store(loop);
    store.isUnavailable = true;
    TestNode node(loop, store, "n1", "books", kUnusedAddress);
    node.start();
    BOOST_TEST(node.ready() == 503U);
    const Request request = callerRequest(http::verb::get, "/nowhere/1", "r1");
    BOOST_TEST(node.sendAndWait(node.settings.callerAddress, request).response.result_int() == 503U);
    store.isUnavailable = false;
    store.set("configuration", "main", kRoutes);
    node.awaitReady();
    BOOST_TEST(node.sendAndWait(node.settings.callerAddress, request).response.result_int() == 404U);
}

BOOST_AUTO_TEST_CASE(ignoresOlderConfigurations)
{
    OneNode one(kRoutes, respondOk);
    one.store.set("configuration", "main", "4;read a.example /read/ nobody safe 3000 1");
    one.store.set("configuration", "main", "6;read a.example /other/ books safe 3000 1");
    runUntil(
        one.loop, [&] { return one.call(http::verb::get, "/other/1", "r1").response.result_int() == 200; });
    one.store.set("configuration", "main", kRoutes);
    one.store.set("nodes", "wake", "{}");
    BOOST_TEST(one.call(http::verb::get, "/other/1", "r2").response.result_int() == 200U);
    BOOST_TEST(one.call(http::verb::get, "/read/1", "r3").response.result_int() == 404U);
}

BOOST_AUTO_TEST_CASE(sendsNoNewWorkToALeavingTarget)
{
    OneNode one(kRoutes, respondOk);
    BOOST_TEST(one.call(http::verb::get, "/read/1", "r1").response.result_int() == 200U);
    BOOST_TEST(one.node.heartbeat("/draining/t1/100/2") == 200U);
    const ExchangeResult result = one.call(http::verb::post, "/book/1", "r2");
    BOOST_TEST(result.response.result_int() == 503U);
    BOOST_TEST(!result.response[http::field::retry_after].empty());
    BOOST_TEST(one.node.heartbeat("/ready/t1/100/3") == 200U);
    BOOST_TEST(one.call(http::verb::get, "/read/1", "r3").response.result_int() == 503U);
    BOOST_TEST(one.node.heartbeat("/ready/t2/200/1") == 200U);
    BOOST_TEST(one.call(http::verb::get, "/read/1", "r4").response.result_int() == 200U);
    BOOST_TEST(one.target.requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(acknowledgesALeaveOnlyOnceItIsStoredElsewhere)
{
    OneNode one(kRoutes, respondOk);
    one.store.isUnavailable = true;
    const auto result = one.node.send(
        one.node.settings.heartbeatAddress, Request { http::verb::post, "/leave/t1/100/0", 11 });
    runUntil(one.loop, [&] { // The leave takes effect before it is acknowledged.
        return one.call(http::verb::get, "/read/1", "r1").response.result_int() == 503;
    });
    BOOST_TEST(!result->has_value());
    one.store.isUnavailable = false;
    runUntil(one.loop, [&] { return result->has_value(); });
    BOOST_TEST((*result)->response.result_int() == 200U);
}

BOOST_AUTO_TEST_CASE(remembersALeaveAfterARestart)
{
    OneNode one(kRoutes, respondOk);
    BOOST_TEST(one.node.heartbeat("/leave/t1/100/0") == 200U);
    one.node.node.reset();
    one.node.start();
    one.node.awaitReady();
    const int putsBefore = one.store.puts;
    runUntil(one.loop, [&] { return one.store.puts >= putsBefore; });
    BOOST_TEST(one.node.heartbeat("/ready/t1/100/9") == 200U); // A delayed heartbeat from before the leave.
    BOOST_TEST(one.node.heartbeat("/ready/t1/100/10") == 200U);
    BOOST_TEST(one.call(http::verb::get, "/read/1", "r1").response.result_int() == 503U);
    BOOST_TEST(one.target.requests.empty());
}

BOOST_AUTO_TEST_CASE(completesCallsInFlightAndReportsNotReadyOnAPlannedStop)
{
    OneNode one(kRoutes, respondOk);
    const auto result
        = one.node.send(one.node.settings.callerAddress, callerRequest(http::verb::post, "/book/1", "r1"));
    one.node.node->stop();
    BOOST_TEST(one.node.ready() == 503U);
    runUntil(one.loop, [&] { return result->has_value(); });
    BOOST_TEST(((*result)->status == ExchangeStatus::Complete));
    BOOST_TEST((*result)->response[http::field::connection] == "close");
}

BOOST_AUTO_TEST_CASE(refusesCallersThatStayConnectedDuringAStop)
{
    TwoNodes two;
    two.forwarding.node->stop();
    ExchangeResult result = two.callViaForwardingNode();
    while (result.status == ExchangeStatus::Complete && result.response.result_int() == 200)
        result = two.callViaForwardingNode();
    BOOST_TEST(
        (result.status == ExchangeStatus::Complete)); // The connection must not close without a response.
    BOOST_TEST(result.response.result_int() == 503U);
    BOOST_TEST(!result.response[http::field::retry_after].empty());
}

BOOST_AUTO_TEST_CASE(refusesCallersWhenTheLoopWasBlockedDuringAStop)
{
    OneNode one(kRoutes, respondOk);
    one.node.node.reset();
    one.node.settings.callerDrainTime = absl::Milliseconds(50);
    one.node.start();
    one.node.awaitReady();
    one.node.node->stop();
    std::this_thread::sleep_for(std::chrono::milliseconds(100)); // The event loop does not run meanwhile.
    const ExchangeResult result = one.call(http::verb::get, "/read/1", "r1");
    BOOST_TEST((result.status == ExchangeStatus::Complete));
    BOOST_TEST(result.response.result_int() == 503U);
}

BOOST_AUTO_TEST_CASE(respondsToPendingCallsAtTheEndOfAStop)
{
    OneNode one(kRoutes, [](const Request&) { return std::optional<TargetResponse>(); });
    one.node.node.reset();
    one.node.settings.stopTime = absl::Seconds(1);
    one.node.start();
    one.node.awaitReady();
    BOOST_REQUIRE_EQUAL(one.node.heartbeat("/ready/t1/100/2"), 200U);
    const auto result
        = one.node.send(one.node.settings.callerAddress, callerRequest(http::verb::post, "/book/1", "r1"));
    runUntil(one.loop, [&] { return !one.target.requests.empty(); });
    one.node.node->stop();
    runUntil(one.loop, [&] { return result->has_value(); });
    BOOST_TEST(((*result)->status == ExchangeStatus::Complete));
    BOOST_TEST((*result)->response.result_int() == 504U);
}

BOOST_AUTO_TEST_CASE(discoversNodesAndForwardsCalls)
{
    TwoNodes two;
    BOOST_TEST(headerValue(two.target.requests.back(), "Jackdaw-Caller") == "shop");
    two.store.isUnavailable = true; // A node that starts now gets its state from the other nodes.
    two.forwarding.node.reset();
    two.forwarding.start();
    two.forwarding.awaitReady();
    two.awaitSuccess();
}

BOOST_AUTO_TEST_CASE(storesALeaveAtAnotherNodeWhileTheStoreIsUnavailable)
{
    TwoNodes two;
    two.store.isUnavailable = true;
    BOOST_TEST(two.serving.heartbeat("/leave/t1/100/0") == 200U); // Only the other node can store it.
    two.serving.node.reset();
    two.serving.start();
    two.serving.awaitReady();
    BOOST_TEST(two.serving.heartbeat("/ready/t1/100/8") == 200U);
    BOOST_TEST(two.serving.heartbeat("/ready/t1/100/9") == 200U);
    const std::size_t before = two.target.requests.size();
    BOOST_TEST(two.callViaForwardingNode().response.result_int() == 503U);
    BOOST_TEST(two.target.requests.size() == before);
}

BOOST_AUTO_TEST_CASE(prefersTheNodesOwnStateToItsStoredRecord)
{
    // The target became ready before its node could register in the store. The stored record must not hide
    // that the target serves.
    asio::io_context loop;
    MemoryStore store(loop);
    ScriptedTarget target(loop, respondOk);
    TestNode serving(loop, store, "n1", "books", target.address());
    store.isUnavailable = true;
    serving.start();
    BOOST_REQUIRE_EQUAL(serving.heartbeat("/ready/t1/100/1"), 200U);
    BOOST_REQUIRE_EQUAL(serving.heartbeat("/ready/t1/100/2"), 200U);
    for (int change = 0; change < 50; ++change)
        store.set("configuration", "main", kRoutes);
    store.isUnavailable = false;
    serving.awaitReady();
    runUntil(loop, [&] { return store.puts == 1; });
    const std::uint64_t registeredRevision = store.revision();
    runUntil(loop, [&] { return serving.node->self().incarnation >= registeredRevision; });
    BOOST_TEST(serving.node->self().isServing);
    BOOST_TEST(serving.node->self().incarnation > registeredRevision);
}

BOOST_AUTO_TEST_CASE(refusesABodyThatExceedsTheMemoryBoundBeforeReadingIt)
{
    OneNode one(kRoutes, respondOk);
    RelaySettings changed = one.node.settings;
    changed.memoryBytes = 1000;
    one.node.node->reload(changed);
    const std::string large(5000, 'x');
    const auto send = [&](const std::string& id) {
        return one.node.sendAndWait(
            one.node.settings.callerAddress, callerRequest(http::verb::post, "/book/1", id, large));
    };
    const ExchangeResult refused = send("r1");
    BOOST_TEST(refused.response.result_int() == 503U);
    BOOST_TEST(!refused.response[http::field::retry_after].empty());
    BOOST_TEST(one.target.requests.empty());
    changed.memoryBytes = 1U << 20;
    one.node.node->reload(changed);
    BOOST_TEST(send("r2").response.result_int() == 200U);
}

BOOST_AUTO_TEST_CASE(abortsAnExchangeAtItsTimeLimitAndReportsItOnce)
{
    asio::io_context loop;
    ScriptedTarget silent(loop, [](const Request&) { return std::optional<TargetResponse>(); });
    ScriptedTarget prompt(loop, respondOk);
    UpstreamPool pool(loop);
    std::vector<ExchangeResult> results;
    const auto send = [&](const ScriptedTarget& target, absl::Duration timeout) {
        ExchangeRequest exchange;
        exchange.bytes = serializeRequest(callerRequest(http::verb::get, "/", "r1"));
        pool.sendWithTimeout(parseEndpoint(target.address()), std::move(exchange), timeout,
            [&](ExchangeResult result) { results.push_back(std::move(result)); });
    };
    send(silent, absl::Milliseconds(50));
    runUntil(loop, [&] { return silent.connectionsClosedByPeer == 1; });
    send(prompt, absl::Seconds(20));
    runUntil(loop, [&] { return results.size() == 2; });
    BOOST_TEST(results[0].isTimedOut);
    BOOST_TEST((results[0].status == ExchangeStatus::Lost));
    BOOST_TEST(!results[1].isTimedOut);
    BOOST_TEST((results[1].status == ExchangeStatus::Complete));
}
