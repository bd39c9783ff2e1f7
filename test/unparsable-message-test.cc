// Messages that the HTTP parser can't represent, in each of their parts and at each port. Guards against one
// that ends the process, and with it the calls of all others, instead of its own connection.
#include "store-fixture.h"

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"

#include <boost/asio/read.hpp>
#include <boost/test/data/test_case.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr char kRoutes[] = "5;read a.example /read/ books safe 5000 1";
/// Longer than a field of the parser can be.
const std::string kLong(70'000, 'x');
/// Limit on heads under which such a field reaches the parser.
constexpr std::uint32_t kLargeHeadBytes = 1U << 20;

struct Message {
    const char* name;
    std::string bytes; ///< Behind the start line and the first headers.
};

std::ostream& operator<<(std::ostream& out, const Message& message)
{
    return out << message.name;
}

constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n\r\n";
const Message kMessages[] = {
    { "a header's value", absl::StrCat("X: ", kLong, "\r\n\r\n") },
    { "a header's name", absl::StrCat(kLong, ": y\r\n\r\n") },
    { "a trailer's value", absl::StrCat(kChunked, "0\r\nX: ", kLong, "\r\n\r\n") },
    { "a trailer's name", absl::StrCat(kChunked, "0\r\n", kLong, ": y\r\n\r\n") },
    { "a trailer behind a body", absl::StrCat(kChunked, "2\r\nok\r\n0\r\nX: ", kLong, "\r\n\r\n") },
    { "a chunk extension", absl::StrCat(kChunked, "2;a=", kLong, "\r\nok\r\n0\r\n\r\n") },
    { "a chunk's size", absl::StrCat(kChunked, "fffffffffffffffff\r\nok\r\n0\r\n\r\n") },
    { "a chunk of the largest size", absl::StrCat(kChunked, "ffffffffffffffff\r\nok\r\n") },
    { "a length that no memory has", "Content-Length: 999999999999999999\r\n\r\nok" },
    { "a length without a body", "Content-Length: 999999999999999999\r\n\r\n" },
    { "the largest length", "Content-Length: 18446744073709551615\r\n\r\nok" },
    { "a length over the largest", "Content-Length: 18446744073709551616\r\n\r\nok" },
    { "a negative length", "Content-Length: -1\r\n\r\nok" },
    { "two lengths", "Content-Length: 1\r\nContent-Length: 2\r\n\r\nok" },
    { "a length in a list", "Content-Length: 2, 3\r\n\r\nok" },
    { "a length of a body that looks like headers",
        "Content-Length: 999999999999999999\r\n\r\nContent-Length: 0\r\n\r\n" },
    { "bytes that are no text", absl::StrCat("X: ", std::string("\0\x01\x7f\xff", 4), "\r\n\r\n") },
    { "a folded line", "X: a\r\n b\r\n\r\n" },
    { "a header without a name", ": y\r\n\r\n" },
};

struct StartLine {
    const char* name;
    std::string bytes;
};

std::ostream& operator<<(std::ostream& out, const StartLine& line)
{
    return out << line.name;
}

const StartLine kRequestLines[] = {
    { "an absolute target with a long authority",
        absl::StrCat("GET http://", kLong, "/read/1/2 HTTP/1.1\r\nHost: a.example\r\n\r\n") },
    { "a long path", absl::StrCat("GET /read/", kLong, " HTTP/1.1\r\nHost: a.example\r\n\r\n") },
    { "a long method", absl::StrCat(kLong, " /read/1 HTTP/1.1\r\nHost: a.example\r\n\r\n") },
    { "an unknown version", "GET /read/1 HTTP/9.9\r\nHost: a.example\r\n\r\n" },
    { "bytes that are no text", std::string("GET /read/\0\xff HTTP/1.1\r\n\r\n", 25) },
};

const StartLine kStatusLines[] = {
    { "a long reason", absl::StrCat("HTTP/1.1 200 ", kLong, "\r\nContent-Length: 0\r\n\r\n") },
    { "a status without digits", "HTTP/1.1 abc X\r\nContent-Length: 0\r\n\r\n" },
    { "the status 000", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" },
    { "the status 999", "HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n" },
    { "an unknown version", "HTTP/9.9 200 X\r\nContent-Length: 0\r\n\r\n" },
    { "bytes that are no text", std::string("\0\x01\xff\xfe\r\n\r\n", 8) },
};

/// A node whose limits let long heads reach the parser at the callers' port.
struct Node {
    explicit Node(const ScriptedTarget::Script& script)
        : target(loop, script)
        , node(loop, store, "n1", "books", target.address())
    {
        node.port.decodeConfiguration = [](const std::string& text) -> absl::StatusOr<Configuration> {
            absl::StatusOr<RouteTable> table = tableFromText(text);
            if (!table.ok())
                return table.status();
            table->limits.headerBytes = kLargeHeadBytes;
            return routedConfiguration(*std::move(table));
        };
        store.set("configuration", "main", kRoutes);
        node.start();
        node.awaitReady();
        BOOST_REQUIRE_EQUAL(node.heartbeat("/ready/t1/100/1"), 200U);
    }

    unsigned read(const std::string& id)
    {
        return node
            .sendAndWait(
                node.settings.callerAddress, callerRequest(http::verb::get, absl::StrCat("/read/", id), id))
            .response.result_int();
    }

    std::vector<std::string> ports() const
    {
        return { node.settings.callerAddress, node.settings.peerAddress, node.settings.heartbeatAddress,
            node.settings.readyAddress, node.settings.operatorAddress };
    }

    asio::io_context loop;
    MemoryStore store { loop };
    ScriptedTarget target;
    TestNode node;
};

ScriptedTarget::Script soundTarget()
{
    return [](const Request& request) { return TargetResponse { sealedResponse(request, "ok") }; };
}

/// Sends these bytes to the request /read/spoilt, and sound responses to others.
ScriptedTarget::Script spoiltTarget(const std::string& bytes)
{
    return [bytes](const Request& request) {
        const bool isSpoilt = absl::EndsWith(fromBeast(request.target()), "/spoilt");
        return isSpoilt ? TargetResponse { bytes, true } : TargetResponse { sealedResponse(request, "ok") };
    };
}

/// Result of an exchange with a server that sends these bytes.
ExchangeResult exchangeWith(const std::string& bytes, const ExchangeRequest& limits, bool closesConnection)
{
    asio::io_context loop;
    ScriptedTarget server(loop, ScriptedTarget::Script([&](const Request&) {
        return TargetResponse { bytes, closesConnection };
    }));
    UpstreamPool pool(loop);
    std::optional<ExchangeResult> result;
    ExchangeRequest exchange = limits;
    exchange.bytes = serializeRequest(callerRequest(http::verb::get, "/", "r"));
    pool.send(parseEndpoint(server.address()), std::move(exchange),
        [&](ExchangeResult received) { result = std::move(received); });
    runUntil(loop, [&] { return result.has_value(); });
    return *std::move(result);
}

/// Sends bytes to each port, closes the sending side and waits until the node has closed the connection.
void sendToEachPort(Node& node, const std::string& bytes)
{
    for (const std::string& address : node.ports()) {
        Tcp::socket socket(node.loop);
        socket.connect(parseEndpoint(address));
        asio::async_write(socket, asio::buffer(bytes), [&](beast::error_code, std::size_t) {
            beast::error_code ignored; // The node may have closed the connection.
            socket.shutdown(Tcp::socket::shutdown_send, ignored);
        });
        std::string response;
        bool isClosed = false;
        asio::async_read(
            socket, asio::dynamic_buffer(response), [&](beast::error_code, std::size_t) { isClosed = true; });
        runUntil(node.loop, [&] { return isClosed; });
        BOOST_TEST(!absl::StartsWith(response, "HTTP/1.1 500"));
    }
    BOOST_TEST(node.read("after") == 200U);
}

} // namespace

BOOST_DATA_TEST_CASE(
    anUnparsableRequestEndsItsConnectionOnly, boost::unit_test::data::make(kMessages), message)
{
    Node node(soundTarget());
    sendToEachPort(node, absl::StrCat("POST /read/1 HTTP/1.1\r\nHost: a.example\r\n", message.bytes));
}

BOOST_DATA_TEST_CASE(
    anUnparsableRequestLineEndsItsConnectionOnly, boost::unit_test::data::make(kRequestLines), line)
{
    Node node(soundTarget());
    sendToEachPort(node, line.bytes);
}

BOOST_DATA_TEST_CASE(
    anUnparsableResponseOfATargetEndsItsCallOnly, boost::unit_test::data::make(kMessages), message)
{
    Node node(spoiltTarget(
        absl::StrCat("HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nJackdaw-Request-Id: spoilt\r\n", message.bytes)));
    static_cast<void>(node.read("spoilt"));
    BOOST_TEST(node.read("after") == 200U);
}

BOOST_DATA_TEST_CASE(anUnparsableStatusLineEndsItsCallOnly, boost::unit_test::data::make(kStatusLines), line)
{
    Node node(spoiltTarget(line.bytes));
    static_cast<void>(node.read("spoilt"));
    BOOST_TEST(node.read("after") == 200U);
}

// Responses of other nodes have larger heads, so that a long header reaches the parser.
BOOST_DATA_TEST_CASE(
    anUnparsableResponseOfANodeEndsItsExchangeOnly, boost::unit_test::data::make(kMessages), message)
{
    ExchangeRequest limits;
    limits.maxHeadBytes = kLargeHeadBytes;
    static_cast<void>(exchangeWith(absl::StrCat("HTTP/1.1 200 OK\r\n", message.bytes), limits, true));
}

BOOST_DATA_TEST_CASE(
    anUnparsableResponseOfTheStoreFailsItsCallOnly, boost::unit_test::data::make(kMessages), message)
{
    asio::io_context loop;
    ScriptedTarget server(loop, ScriptedTarget::Script([&](const Request&) {
        return TargetResponse { absl::StrCat("HTTP/1.1 200 OK\r\n", message.bytes), true };
    }));
    platform::ObjectStore client(loop, server.address());
    std::optional<absl::Status> status;
    client.port().list("nodes", ReadConsistency::Latest,
        [&](const absl::StatusOr<StoreListing>& listing) { status = listing.status(); });
    runUntil(loop, [&] { return status.has_value(); });
    BOOST_TEST(!status->ok());
}

// The length is compared with the limit before memory is reserved for it.
BOOST_AUTO_TEST_CASE(aLengthOverTheLimitIsTooLarge)
{
    for (const char* length : { "999999999999999999", "18446744073709551615", "67108864" }) {
        const std::string bytes = absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", length, "\r\n\r\nok");
        BOOST_TEST((exchangeWith(bytes, {}, false).status == ExchangeStatus::TooLarge), length);
    }
}

BOOST_AUTO_TEST_CASE(aRequestOverTheLimitOnBodiesIsRefusedAsSuch)
{
    OneNode one(kRoutes, soundTarget());
    for (const char* rest : { "ok", "Content-Length: 0\r\n\r\n", "X: y\r\n\r\n" }) {
        Tcp::socket socket(one.loop);
        socket.connect(parseEndpoint(one.node.settings.callerAddress));
        const std::string bytes = absl::StrCat("POST /read/1 HTTP/1.1\r\nHost: a.example\r\n",
            "Content-Length: 999999999999999999\r\n\r\n", rest);
        asio::write(socket, asio::buffer(bytes));
        std::string response(12, '\0');
        bool isAnswered = false;
        asio::async_read(socket, asio::buffer(response),
            [&](beast::error_code error, std::size_t) { isAnswered = !error; });
        runUntil(one.loop, [&] { return isAnswered; });
        BOOST_TEST(response == "HTTP/1.1 413", rest);
    }
    BOOST_TEST(one.target.requests.empty());
}

// An address that one check accepts and the next can't parse ends the process as well.
BOOST_AUTO_TEST_CASE(anAddressWithAnEmbeddedZeroIsNone)
{
    using namespace std::string_literals;
    const std::string addresses[] = { "127.0.0.1\0a:b:80"s, "127.0.0.1\0:80"s, "127.0.0.1:80\0"s,
        "127.0.0.1:80:80"s, "127.0.0.1"s, ":80"s, "127.0.0.1:"s, "127.0.0.1:65536"s };
    for (const std::string& address : addresses)
        BOOST_TEST(!isAddress(address), absl::CHexEscape(address));
    BOOST_TEST(isAddress("127.0.0.1:80"));
}
