// Customers and their keys: who is refused, what targets and other nodes receive, and what a withdrawal
// stops.
#include "adapter/json-reader.h"
#include "adapter/log.h"
#include "relay/request-start.h"
#include "store-fixture.h"
#include "table.h"
#include "wire-names.h"

#include "absl/strings/match.h"

#include <boost/asio/read_until.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr char kCustomers[] = R"({"name":"small","api_keys":["secret-1","secret-2"],"priority":3},)"
                              R"({"name":"large","api_keys":["secret-3"]})";
constexpr char kWithoutFirstKey[] = R"({"name":"small","api_keys":["secret-2"],"priority":3},)"
                                    R"({"name":"large","api_keys":["secret-3"]})";

/// A configuration as the store holds it.
std::string document(int version, const std::string& customers)
{
    return absl::StrCat(R"({"version":)", version, R"(,"routes":[)",
        R"({"name":"book","host":"a.example","prefix":"/book/","kind":"safe","timeout_ms":4000,"priority":0,)",
        R"("service":"books"},)",
        R"({"name":"open","host":"a.example","prefix":"/open/","kind":"safe","timeout_ms":4000,"priority":1,)",
        R"("service":"books","public":true},)",
        R"({"name":"deep","host":"a.example","prefix":"/deep/","kind":"safe","timeout_ms":4000,"priority":1,)",
        R"("service":"deep"}],"tenants":[)", customers, "]}");
}

/// Makes a node use the platform's decoder and the headers of customers.
void useCustomers(TestNode& node)
{
    usePlatformDecoder(node);
    node.settings.names.key = platform::headerNames().key;
    node.settings.names.customer = platform::headerNames().customer;
}

Request keyRequest(const std::string& path, const std::string& id, const std::string& key)
{
    Request request = callerRequest(http::verb::get, path, id);
    if (!key.empty())
        request.set("X-Api-Key", key);
    return request;
}

/// One node whose target holds its responses until the test releases them.
struct CustomerNode {
    explicit CustomerNode(const std::string& configuration = document(5, kCustomers))
        : target(loop, ScriptedTarget::AsyncScript([this](const Request& request, const auto& done) {
            pending.push_back([request, done] { done({ sealedResponse(request, "done"), false, false }); });
            if (!isHolding)
                releaseAll();
        }))
        , node(loop, store, "n1", "books", target.address())
    {
        store.set("configuration", "main", configuration);
        useCustomers(node);
        node.start();
        node.awaitReady();
        BOOST_REQUIRE_EQUAL(node.heartbeat("/ready/t1/100/1"), 200U);
    }

    void releaseAll()
    {
        for (const auto& respond : std::exchange(pending, {}))
            respond();
    }

    ExchangeResult call(const Request& request)
    {
        return node.sendAndWait(node.settings.callerAddress, request);
    }

    void apply(int version, const std::string& customers)
    {
        store.set("configuration", "main", document(version, customers));
        runUntil(loop, [&] { return absl::StrContains(operatorText("/status"), versionText(version)); });
    }

    static std::string versionText(int version)
    {
        return absl::StrCat("\"catalogueVersion\":", version, ",");
    }

    std::string operatorText(const std::string& path)
    {
        return node.sendAndWait(node.settings.operatorAddress, Request { http::verb::get, path, 11 })
            .response.body();
    }

    asio::io_context loop;
    MemoryStore store { loop };
    std::vector<std::function<void()>> pending;
    bool isHolding = false;
    ScriptedTarget target;
    TestNode node;
};

bool holdsKey(const Request& request)
{
    return absl::StrContains(serializeRequest(request), "secret")
        || request.find("X-Api-Key") != request.end();
}

struct KeyRow {
    const char* name;
    const char* path;
    std::vector<const char*> keys;
    unsigned status;
    const char* customer; ///< That the target receives.
};

} // namespace

// Guards against a client that passes for a customer, and against a key that reaches a target.
BOOST_AUTO_TEST_CASE(aRequestNeedsAKnownKey)
{
    const std::vector<KeyRow> table {
        { "known", "/book/1", { "secret-1" }, 200, "small" },
        { "second key", "/book/1", { "secret-2" }, 200, "small" },
        { "other customer", "/book/1", { "secret-3" }, 200, "large" },
        { "unknown", "/book/1", { "secret-9" }, 401, "" },
        { "part of a key", "/book/1", { "secret-" }, 401, "" },
        { "missing", "/book/1", {}, 401, "" },
        { "empty", "/book/1", { "" }, 401, "" },
        { "two keys", "/book/1", { "secret-1", "secret-1" }, 401, "" },
        { "public", "/open/1", {}, 200, "" },
        { "public with an unknown key", "/open/1", { "secret-9" }, 200, "" },
        { "public with a key", "/open/1", { "secret-1" }, 200, "" },
        { "no route", "/none/1", {}, 404, "" },
    };
    CustomerNode fixture;
    jackdawwall::test::forEachRow(table, [&](const KeyRow& row) {
        fixture.target.requests.clear();
        Request request = callerRequest(http::verb::get, row.path, "r1");
        for (const char* key : row.keys)
            request.insert("X-Api-Key", key);
        request.insert("Tenant", "forged");
        request.insert("Tenant", "forged");
        request.insert(kCustomerHeader, "forged");
        BOOST_TEST(fixture.call(request).response.result_int() == row.status);
        BOOST_REQUIRE_EQUAL(fixture.target.requests.size(), row.status == 200 ? 1U : 0U);
        for (const Request& received : fixture.target.requests) {
            BOOST_TEST(!holdsKey(received));
            BOOST_TEST(headerValue(received, "Tenant") == row.customer);
        }
    });
    const std::string metrics = fixture.operatorText("/metrics");
    BOOST_TEST(absl::StrContains(metrics, "jackdaw_refused_keys_total{reason=\"missing\"} 2"), metrics);
    BOOST_TEST(absl::StrContains(metrics, "jackdaw_refused_keys_total{reason=\"unknown\"} 3"), metrics);
    for (const char* path : { "/status", "/members", "/metrics", "/events" })
        BOOST_TEST(!absl::StrContains(fixture.operatorText(path), "secret"));
    BOOST_TEST(absl::StrContains(fixture.operatorText("/events"), "key-refused"));
}

// Guards against a change for configurations without customers, where the headers belong to the application.
BOOST_AUTO_TEST_CASE(withoutCustomersTheHeadersPassThrough)
{
    CustomerNode fixture(document(5, ""));
    Request request = keyRequest("/book/1", "r1", "anything");
    request.set("Tenant", "own");
    BOOST_TEST(fixture.call(request).response.result_int() == 200U);
    BOOST_TEST(headerValue(fixture.target.requests.at(0), "X-Api-Key") == "anything");
    BOOST_TEST(headerValue(fixture.target.requests.at(0), "Tenant") == "own");
}

// Guards against a refusal for the key while it is not known which keys there are.
BOOST_AUTO_TEST_CASE(withoutAConfigurationNoKeyIsRefused)
{
    asio::io_context loop;
    MemoryStore store(loop);
    TestNode node(loop, store, "n1", "books", kUnusedAddress);
    useCustomers(node);
    node.start();
    const Request request = keyRequest("/book/1", "r1", "");
    BOOST_TEST(node.sendAndWait(node.settings.callerAddress, request).response.result_int() == 503U);
}

// Guards against requests that run after the withdrawal of their key: on an open connection, pipelined and
// queued for the local target.
BOOST_AUTO_TEST_CASE(aWithdrawnKeyStopsRequestsThatHaveNotRun)
{
    CustomerNode fixture;
    fixture.isHolding = true;
    Tcp::socket pipelined(fixture.loop);
    pipelined.connect(parseEndpoint(fixture.node.settings.callerAddress));
    const auto post = [](const std::string& id, const std::string& key) {
        Request request = keyRequest("/book/1", id, key);
        request.method(http::verb::post);
        request.prepare_payload();
        return serializeRequest(request);
    };
    const std::string bytes = post("p1", "secret-1") + post("p2", "secret-1") + post("p3", "secret-2");
    asio::write(pipelined, asio::buffer(bytes));
    runUntil(fixture.loop, [&] { return fixture.pending.size() == 1; });
    // The target has 8 slots, one of them taken: 7 requests run and the others are queued.
    std::vector<std::shared_ptr<std::optional<ExchangeResult>>> results;
    for (int index = 0; index < 12; ++index) {
        const char* key = index % 2 == 0 ? "secret-1" : "secret-2";
        results.push_back(fixture.node.send(
            fixture.node.settings.callerAddress, keyRequest("/book/1", absl::StrCat("q", index), key)));
    }
    runUntil(fixture.loop, [&] {
        return fixture.pending.size() == 8
            && absl::StrContains(fixture.operatorText("/metrics"), "jackdaw_target_waiting 5");
    });
    const std::vector<Request> beforeChange = fixture.target.requests;
    fixture.apply(6, kWithoutFirstKey);
    fixture.isHolding = false;
    fixture.releaseAll();
    std::size_t refused = 0;
    std::size_t answered = 0;
    for (const auto& result : results) {
        runUntil(fixture.loop, [&] { return result->has_value(); });
        refused += (*result)->response.result_int() == 401 ? 1 : 0;
        answered += (*result)->response.result_int() == 200 ? 1 : 0;
    }
    const auto withFirstKey = [](const std::vector<Request>& requests, const std::string& id) {
        return std::count_if(requests.begin(), requests.end(),
            [&](const Request& request) { return headerValue(request, "Jackdaw-Request-Id") == id; });
    };
    std::size_t startedWithFirstKey = 0;
    for (int index = 0; index < 12; index += 2)
        startedWithFirstKey += withFirstKey(beforeChange, absl::StrCat("q", index));
    BOOST_TEST(startedWithFirstKey < 6U); // Otherwise none was queued.
    BOOST_TEST(refused == 6 - startedWithFirstKey);
    BOOST_TEST(answered == 12 - refused);
    runUntil(fixture.loop, [&] { return withFirstKey(fixture.target.requests, "p3") == 1; });
    BOOST_TEST(withFirstKey(fixture.target.requests, "p2") == 0); // Pipelined before the withdrawal.
    for (int index = 0; index < 12; index += 2) {
        const std::string id = absl::StrCat("q", index);
        BOOST_TEST(withFirstKey(fixture.target.requests, id) == withFirstKey(beforeChange, id));
    }
    // On the connections that were open before.
    BOOST_TEST(fixture.call(keyRequest("/book/1", "r1", "secret-1")).response.result_int() == 401U);
    BOOST_TEST(fixture.call(keyRequest("/book/1", "r2", "secret-2")).response.result_int() == 200U);
    fixture.apply(7, R"({"name":"small","api_keys":[]})"); // Its last key.
    BOOST_TEST(fixture.call(keyRequest("/book/1", "r3", "secret-2")).response.result_int() == 401U);
}

// Guards against a customer that is lost between nodes or in nested calls, a target of a nested call that
// receives a customer, and a key in a message between nodes.
BOOST_AUTO_TEST_CASE(nestedCallsAndOtherNodesKeepTheCustomersClass)
{
    asio::io_context loop;
    MemoryStore store(loop);
    MemoryStore emptyStore(loop); // The second node learns the configuration from the first.
    store.set("configuration", "main", document(5, kCustomers));
    std::unique_ptr<TestNode> front;
    UpstreamPool pool(loop);
    ScriptedTarget books(loop,
        ScriptedTarget::AsyncScript(
            [&](const Request& request, const std::function<void(TargetResponse)>& done) {
                Request nested = callerRequest(http::verb::get, "/deep/1", "nested");
                nested.set("Jackdaw-Time-Left-Ms", request["Jackdaw-Time-Left-Ms"]);
                nested.set("Tenant", request["Tenant"]); // Copied by the application.
                nested.prepare_payload();
                ExchangeRequest exchange;
                exchange.bytes = serializeRequest(nested);
                pool.send(parseEndpoint(front->settings.callerAddress), std::move(exchange),
                    [request, done](const ExchangeResult& result) {
                        done({ sealedResponse(request, std::to_string(result.response.result_int())), false,
                            false });
                    });
            }));
    ScriptedTarget deepTarget(loop, [](const Request& request) {
        return std::optional<TargetResponse>(
            TargetResponse { sealedResponse(request, "deep"), false, false });
    });
    front = std::make_unique<TestNode>(loop, store, "n1", "books", books.address());
    TestNode deep(loop, emptyStore, "n2", "deep", deepTarget.address());
    useCustomers(*front);
    useCustomers(deep);
    std::string received; // By the second node.
    const auto decode = deep.port.decodeConfiguration;
    deep.port.decodeConfiguration = [&received, decode](const std::string& text) {
        received = text;
        return decode(text);
    };
    front->start();
    deep.start();
    front->node->addPeer(deep.settings.peerAddress);
    front->awaitReady();
    deep.awaitReady();
    BOOST_TEST(!absl::StrContains(received, "secret"), received);
    BOOST_TEST(absl::StrContains(received, "key_hashes"), received);
    BOOST_REQUIRE_EQUAL(front->heartbeat("/ready/t1/100/1"), 200U);
    BOOST_REQUIRE_EQUAL(deep.heartbeat("/ready/t2/100/1"), 200U);
    runUntil(loop, [&] { return front->node->servingMemberCount() == 2; });
    const auto offers = [&](TestNode& node, const std::string& className) {
        const std::string metrics
            = node.sendAndWait(node.settings.operatorAddress, Request { http::verb::get, "/metrics", 11 })
                  .response.body();
        return absl::StrContains(metrics,
            absl::StrCat(
                "jackdaw_offers_total{class=\"", className, "\",outcome=\"ok\",reason=\"none\"} 1\n"));
    };
    // The routes are critical and interactive; the customer is bulk.
    ExchangeResult result
        = front->sendAndWait(front->settings.callerAddress, keyRequest("/book/1", "r1", "secret-1"));
    BOOST_TEST(result.response.body() == "200");
    BOOST_TEST(headerValue(books.requests.at(0), "Tenant") == "small");
    BOOST_TEST(offers(*front, "bulk"));
    BOOST_TEST(offers(deep, "bulk"));
    BOOST_TEST(deepTarget.requests.at(0).count("Tenant") == 0U);
    // Directly from node to node, with the keys that came from the first node.
    result = front->sendAndWait(front->settings.callerAddress, keyRequest("/deep/1", "r2", "secret-3"));
    BOOST_TEST(result.response.body() == "deep");
    BOOST_TEST(headerValue(deepTarget.requests.at(1), "Tenant") == "large");
    BOOST_TEST(offers(deep, "interactive"));
    result = deep.sendAndWait(deep.settings.callerAddress, keyRequest("/deep/1", "r3", "secret-2"));
    BOOST_TEST(result.response.result_int() == 200U);
    for (const Request& request : deepTarget.requests) {
        BOOST_TEST(!holdsKey(request));
        BOOST_TEST(request.count(kCustomerHeader) + request.count(kRunCustomerHeader) == 0U);
    }
}

namespace {

struct StartRow {
    const char* name;
    const char* bytes; ///< Unparsed.
    const char* logged;
};

} // namespace

// Guards against a key in the log line of a rejected request.
BOOST_AUTO_TEST_CASE(theStartOfARejectedRequestHoldsNoKey)
{
    const std::vector<StartRow> table {
        { "request line", "GET /a?key=secret HTTP/9.9\r\nX-Api-Key: secret\r\n", "GET /a" },
        { "no end of line", "GET /a X-Api-Key: secret", "GET /a" },
        { "header", "X-Api-Key: secret\r\n\r\n", "" },
        { "part of a header", "secret-1 and more", "" },
        { "rest of a key", "secret\r\nGET / HTTP/1.1", "" },
        { "no text", "\x16\x03\x01secret", "\\x16\\x03\\x01" },
        { "nothing", "", "" },
    };
    jackdawwall::test::forEachRow(
        table, [](const StartRow& row) { BOOST_TEST(loggableStart(nullptr, row.bytes) == row.logged); });
    // With a parsed request line, the unparsed bytes are headers or the body.
    CustomerNode fixture;
    Tcp::socket client(fixture.loop);
    client.connect(parseEndpoint(fixture.node.settings.callerAddress));
    const std::string bytes = "GET /rejected HTTP/1.1\r\nX-Api-Key: secret-1\r\nbad line: \x01\r\n\r\n";
    asio::write(client, asio::buffer(bytes));
    runUntil(fixture.loop, [&] { return absl::StrContains(fixture.operatorText("/events"), "/rejected"); });
    BOOST_TEST(!absl::StrContains(fixture.operatorText("/events"), "secret"));
}
