// Connections that fall silent: the peer's kernel acknowledges all bytes, no response comes, and new
// connections work. Guards against configuration changes that are late by the length of a watch, and against
// replacing a silent connection by another silent one from the pool.
#include "store-fixture.h"

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

/// Time within which a change has to be in force everywhere, unless the settings say otherwise.
constexpr absl::Duration kApplyTime = absl::Seconds(6);
constexpr absl::Duration kExchangeTimeout = absl::Milliseconds(200);

constexpr char kVersion5[] = R"({"version":5,"routes":[]})";
constexpr char kVersion6[] = R"({"version":6,"routes":[]})";

std::optional<TargetResponse> respondOk(const Request& request)
{
    return TargetResponse { sealedResponse(request, "ok") };
}

} // namespace

BOOST_AUTO_TEST_CASE(aTimeoutClosesTheIdleConnectionsThatMayBeSilentToo)
{
    asio::io_context loop;
    int silentUpTo = 0;
    ScriptedTarget* server = nullptr;
    ScriptedTarget target(loop, ScriptedTarget::Script([&](const Request& request) {
        return server->latestConnection <= silentUpTo ? std::nullopt : respondOk(request);
    }));
    server = &target;
    UpstreamPool pool(loop);
    int responses = 0;
    int timeouts = 0;
    const auto send = [&] {
        Request request { http::verb::get, "/", 11 };
        ExchangeRequest exchange;
        exchange.bytes = serializeRequest(request);
        pool.sendWithTimeout(parseEndpoint(target.address()), std::move(exchange), kExchangeTimeout,
            [&](const ExchangeResult& result) { ++(result.isTimedOut ? timeouts : responses); });
    };
    for (int count = 0; count < 4; ++count)
        send();
    runUntil(loop, [&] { return responses == 4; });
    silentUpTo = target.connectionsOpened;
    send();
    runUntil(loop, [&] { return timeouts + responses == 5; });
    send();
    runUntil(loop, [&] { return timeouts + responses == 6; });
    BOOST_TEST(responses >= 5);
    BOOST_TEST(timeouts <= 1);
}

BOOST_AUTO_TEST_CASE(aChangeReachesANodeWhoseStoreConnectionsFellSilent)
{
    asio::io_context loop;
    HttpStore server(loop);
    platform::ObjectStore client(loop, server.address());
    MemoryStore unused(loop);
    TestNode node(loop, unused, "n1", "books", kUnusedAddress);
    usePlatformStore(node, client);
    server.set("configuration", "main", kVersion5);
    node.start();
    runUntil(loop, [&] { return node.node->configurationVersion() == 5 && !server.waits.empty(); });
    server.silenceConnections();
    server.set("configuration", "main", kVersion6);
    runUntil(loop, [&] { return node.node->configurationVersion() == 6; });
    // A silent watch is noticed after its wait, so the wait has to leave time for the repetition.
    for (const absl::Duration wait : server.waits)
        BOOST_TEST(wait <= kApplyTime / 2);
}
