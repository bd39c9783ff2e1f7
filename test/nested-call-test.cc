// A call that the local target makes for a request travels under the class of that request.
#include "relay-fixture.h"

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

BOOST_AUTO_TEST_CASE(nestedCallsKeepTheClassOfTheirRequest)
{
    asio::io_context loop;
    MemoryStore store(loop);
    store.set("configuration", "main",
        "5;book a.example /book/ books unsafe 3000 1;deep a.example /deep/ deep safe 3000 1");
    std::unique_ptr<TestNode> front;
    UpstreamPool pool(loop);
    ScriptedTarget booking(loop,
        ScriptedTarget::AsyncScript(
            [&](const Request& request, const std::function<void(TargetResponse)>& done) {
                Request nested = callerRequest(http::verb::get, "/deep/1", "nested");
                nested.set("Jackdaw-Time-Left-Ms", request["Jackdaw-Time-Left-Ms"]);
                nested.prepare_payload();
                ExchangeRequest exchange;
                exchange.bytes = serializeRequest(nested);
                pool.send(parseEndpoint(front->settings.callerAddress), std::move(exchange),
                    [request, done](const ExchangeResult& result) {
                        done({ sealedResponse(request, result.response.body()), false, false });
                    });
            }));
    ScriptedTarget deepTarget(loop, [](const Request& request) {
        return std::optional<TargetResponse>(
            TargetResponse { sealedResponse(request, "deep"), false, false });
    });
    front = std::make_unique<TestNode>(loop, store, "n1", "books", booking.address());
    TestNode deep(loop, store, "n2", "deep", deepTarget.address());
    front->start();
    deep.start();
    front->awaitReady();
    BOOST_REQUIRE_EQUAL(front->heartbeat("/ready/t1/100/1"), 200U);
    BOOST_REQUIRE_EQUAL(deep.heartbeat("/ready/t2/100/1"), 200U);
    runUntil(loop, [&] { return front->node->servingMemberCount() == 2; });
    const ExchangeResult result
        = front->sendAndWait(front->settings.callerAddress, callerRequest(http::verb::post, "/book/1", "r1"));
    BOOST_TEST(result.response.body() == "deep");
    const std::string metrics
        = deep.sendAndWait(deep.settings.operatorAddress, Request { http::verb::get, "/metrics", 11 })
              .response.body();
    BOOST_TEST(metrics.find("jackdaw_offers_total{class=\"critical\",outcome=\"ok\",reason=\"none\"} 1")
        != std::string::npos);
}
