// Messages that never end or do not fit, in each of their parts. Guards against a node that buffers them
// until it exceeds its memory limit and takes the calls of all others with it.
#include "store-fixture.h"

#include "absl/strings/match.h"

#include <boost/test/data/test_case.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr char kRoutes[]
    = "5;read a.example /read/ books safe 5000 1;book a.example /book/ books unsafe 5000 1";
constexpr std::size_t kMemoryBytes = 64U << 20;
/// More than a node may take of one response: its limit on bodies, and what the kernel buffers.
constexpr std::size_t kEndlessBytes = 64U << 20;
constexpr std::size_t kPieceBytes = 256U << 10;

/// Repeats a text up to the size of a piece.
std::string repeated(const std::string& text)
{
    std::string piece;
    while (piece.size() < kPieceBytes)
        piece += text;
    return piece;
}

std::string head(const Request& request, const std::string& framing)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nJackdaw-Request-Id: ",
        headerValue(request, "Jackdaw-Request-Id"), "\r\n", framing);
}

struct EndlessPart {
    const char* name;
    const char* framing; ///< Sent behind the first headers.
    std::string repeatedText;
};

std::ostream& operator<<(std::ostream& out, const EndlessPart& part)
{
    return out << part.name;
}

const EndlessPart kEndlessParts[] = {
    { "a header line", "X: ", "xxxxxxxxxxxxxxxx" },
    { "header lines", "", "X: y\r\n" },
    { "the line of a chunk's size", "Transfer-Encoding: chunked\r\n\r\n", "????????????????" },
    { "zeros of a chunk's size", "Transfer-Encoding: chunked\r\n\r\n", "0000000000000000" },
    { "a chunk extension", "Transfer-Encoding: chunked\r\n\r\n5;a=", "xxxxxxxxxxxxxxxx" },
    { "chunks", "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n" },
    { "a trailer line", "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "xxxxxxxxxxxxxxxx" },
    { "trailer lines", "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n" },
    { "a body without length", "\r\n", "xxxxxxxxxxxxxxxx" },
    { "a body of the largest length", "Content-Length: 18446744073709551615\r\n\r\n", "xxxxxxxxxxxxxxxx" },
    { "a body over the limit", "Content-Length: 67108864\r\n\r\n", "xxxxxxxxxxxxxxxx" },
    { "interim responses", "Content-Length: 0\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n" },
    { "responses to other requests", "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nJackdaw-Request-Id: old\r\nContent-Length: 0\r\n\r\n" },
};

/// A target that sends its answer to /endless requests without end, until its caller closes the connection or
/// it has sent kEndlessBytes.
class EndlessTarget {
public:
    EndlessTarget(asio::io_context& loop, std::string framing, const std::string& repeatedText)
        : framing_(std::move(framing))
        , piece_(repeated(repeatedText))
        , acceptor_(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    std::string address() const { return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port()); }

    bool startsWithRepeatedText = false; ///< Sends the repeated text in place of a final response.
    bool isAlwaysEndless = false; ///< Whatever the request.
    int endlessResponses = 0;
    int cutResponses = 0; ///< Endless responses whose caller closed the connection in time.

private:
    struct Connection {
        explicit Connection(Tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        Tcp::socket socket;
        beast::flat_buffer buffer;
        Request request;
        std::string bytes;
        std::size_t sent = 0;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept()
    {
        acceptor_.async_accept([this](beast::error_code error, Tcp::socket socket) {
            if (error)
                return;
            read(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void read(const ConnectionPtr& connection)
    {
        connection->request = {};
        http::async_read(connection->socket, connection->buffer, connection->request,
            [this, connection](beast::error_code error, std::size_t) {
                if (!error)
                    respond(connection);
            });
    }

    void respond(const ConnectionPtr& connection)
    {
        const bool isEndless
            = isAlwaysEndless || absl::StrContains(fromBeast(connection->request.target()), "endless");
        if (!isEndless) {
            connection->bytes = sealedResponse(connection->request, "ok");
        } else {
            ++endlessResponses;
            connection->bytes = startsWithRepeatedText ? piece_ : head(connection->request, framing_);
        }
        asio::async_write(connection->socket, asio::buffer(connection->bytes),
            [this, connection, isEndless](beast::error_code error, std::size_t) {
                if (error)
                    cutResponses += isEndless ? 1 : 0;
                else if (isEndless)
                    writePiece(connection);
                else
                    read(connection);
            });
    }

    void writePiece(const ConnectionPtr& connection)
    {
        connection->sent += piece_.size();
        if (connection->sent > kEndlessBytes)
            return;
        asio::async_write(connection->socket, asio::buffer(piece_),
            [this, connection](beast::error_code error, std::size_t) {
                if (error)
                    ++cutResponses;
                else
                    writePiece(connection);
            });
    }

    const std::string framing_;
    const std::string piece_;
    Tcp::acceptor acceptor_;
};

/// A node beside an endless target, and one of another service that forwards calls to it.
struct Nodes {
    explicit Nodes(const EndlessPart& part)
        : target(loop, part.framing, part.repeatedText)
        , serving(loop, store, "n1", "books", target.address())
        , forwarding(loop, store, "n2", "shop", kUnusedAddress)
    {
        target.startsWithRepeatedText = absl::StartsWith(part.repeatedText, "HTTP/");
        serving.settings.memoryBytes = kMemoryBytes;
        forwarding.settings.memoryBytes = kMemoryBytes;
        store.set("configuration", "main", kRoutes);
        serving.start();
        forwarding.start();
        BOOST_REQUIRE_EQUAL(serving.heartbeat("/ready/t1/100/1"), 200U);
        runUntil(loop, [&] { return call(forwarding, "/read/1", "first").response.result_int() == 200; });
    }

    ExchangeResult call(TestNode& node, const std::string& path, const std::string& id)
    {
        return node.sendAndWait(node.settings.callerAddress, callerRequest(http::verb::get, path, id));
    }

    asio::io_context loop;
    MemoryStore store { loop };
    EndlessTarget target;
    TestNode serving;
    TestNode forwarding;
};

std::uint64_t heldResponseBytes(TestNode& node)
{
    const std::string metrics
        = node.sendAndWait(node.settings.operatorAddress, Request { http::verb::get, "/metrics", 11 })
              .response.body();
    const std::string name = "\njackdaw_held_response_bytes ";
    return std::stoull(metrics.substr(metrics.find(name) + name.size()));
}

struct EndlessRequest {
    const char* name;
    std::string start;
};

std::ostream& operator<<(std::ostream& out, const EndlessRequest& request)
{
    return out << request.name;
}

constexpr char kChunkedPost[]
    = "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n";
const EndlessRequest kEndlessRequests[] = {
    { "the line of a chunk's size", kChunkedPost },
    { "a chunk extension", absl::StrCat(kChunkedPost, "5;a=") },
    { "a trailer line", absl::StrCat(kChunkedPost, "0\r\nX: ") },
    { "a header line", "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX: " },
};

} // namespace

// The call ends with "may have run", the target's connection is closed, and what was held is released.
BOOST_DATA_TEST_CASE(anEndlessResponseIsCutOff, boost::unit_test::data::make(kEndlessParts), part)
{
    Nodes nodes(part);
    for (TestNode* node : { &nodes.serving, &nodes.forwarding }) {
        const ExchangeResult result = node->sendAndWait(node->settings.callerAddress,
            callerRequest(http::verb::post, "/book/endless", node->settings.process));
        BOOST_TEST(result.response.result_int() == 502U);
    }
    BOOST_TEST(nodes.target.endlessResponses == 2);
    runUntil(nodes.loop, [&] { return nodes.target.cutResponses == 2; });
    BOOST_TEST(heldResponseBytes(nodes.serving) == 0U);
}

// Many at once: the sum is bounded, and the complete responses of others get through meanwhile.
BOOST_DATA_TEST_CASE(endlessResponsesDoNotDisplaceOthers, boost::unit_test::data::make(kEndlessParts), part)
{
    constexpr int kAtOnce = 8; // All slots of the target but those for short calls.
    Nodes nodes(part);
    std::vector<std::shared_ptr<std::optional<ExchangeResult>>> endless;
    endless.reserve(kAtOnce);
    for (int index = 0; index < kAtOnce; ++index)
        endless.push_back(nodes.forwarding.send(nodes.forwarding.settings.callerAddress,
            callerRequest(http::verb::post, "/book/endless", absl::StrCat("endless", index))));
    std::uint64_t peak = 0;
    int served = 0;
    for (int index = 0; index < 10; ++index) {
        served += nodes.call(nodes.serving, "/read/1", absl::StrCat("r", index)).response.result_int() == 200;
        peak = std::max(peak, heldResponseBytes(nodes.serving));
    }
    runUntil(nodes.loop, [&] {
        return std::all_of(
            endless.begin(), endless.end(), [](const auto& result) { return result->has_value(); });
    });
    BOOST_TEST(served == 10);
    BOOST_TEST(peak <= kMemoryBytes * kBufferedBodiesShare);
    for (const auto& result : endless)
        BOOST_TEST(((*result)->response.result_int() == 502 || (*result)->response.result_int() == 503));
}

BOOST_AUTO_TEST_CASE(theLimitOnBodiesHoldsForEachFraming)
{
    constexpr std::size_t kLimit = 1U << 20;
    for (const char* framing :
        { "Content-Length: 67108864\r\n\r\n", "\r\n", "Transfer-Encoding: chunked\r\n\r\n" }) {
        asio::io_context loop;
        EndlessTarget target(loop, framing, "10\r\n0123456789abcdef\r\n");
        UpstreamPool pool(loop);
        ExchangeRequest exchange;
        exchange.bytes = serializeRequest(callerRequest(http::verb::get, "/endless", "r"));
        exchange.maxResponseBytes = kLimit;
        std::optional<ExchangeResult> result;
        pool.send(parseEndpoint(target.address()), std::move(exchange),
            [&](ExchangeResult received) { result = std::move(received); });
        runUntil(loop, [&] { return result.has_value() && target.cutResponses == 1; });
        BOOST_TEST((result->status == ExchangeStatus::TooLarge), framing);
    }
}

// A complete response stays counted until its caller has read it.
BOOST_AUTO_TEST_CASE(responsesThatCallersDoNotReadAreBounded)
{
    constexpr std::size_t kBodyBytes = 12U << 20;
    OneNode one(kRoutes, [](const Request& request) {
        const bool isLarge = absl::StrContains(fromBeast(request.target()), "large");
        return TargetResponse { sealedResponse(request, std::string(isLarge ? kBodyBytes : 2, 'x')) };
    });
    RelaySettings settings = one.node.settings;
    settings.memoryBytes = kMemoryBytes;
    one.node.node->reload(settings);
    Tcp::socket slow(one.loop);
    slow.connect(parseEndpoint(one.node.settings.callerAddress));
    const std::string bytes = serializeRequest(callerRequest(http::verb::get, "/read/large", "slow"));
    asio::write(slow, asio::buffer(bytes));
    runUntil(one.loop, [&] { return heldResponseBytes(one.node) >= kBodyBytes; });
    BOOST_TEST(one.call(http::verb::get, "/read/large", "second").response.result_int() == 502U);
    BOOST_TEST(one.call(http::verb::get, "/read/1", "third").response.result_int() == 200U);
    slow.close();
    runUntil(one.loop, [&] { return heldResponseBytes(one.node) == 0; });
    BOOST_TEST(one.call(http::verb::get, "/read/large", "fourth").response.result_int() == 200U);
}

// Guards against a caller that waits until the idle timeout for a response to a request that can't be read.
BOOST_DATA_TEST_CASE(anEndlessLineOfARequestIsRejected, boost::unit_test::data::make(kEndlessRequests), part)
{
    OneNode one(
        kRoutes, [](const Request& request) { return TargetResponse { sealedResponse(request, "ok") }; });
    for (const std::string& address : { one.node.settings.callerAddress, one.node.settings.peerAddress,
             one.node.settings.heartbeatAddress }) {
        Tcp::socket socket(one.loop);
        socket.connect(parseEndpoint(address));
        const std::string bytes = part.start + std::string(kPieceBytes, '0');
        asio::async_write(socket, asio::buffer(bytes), [](beast::error_code, std::size_t) {});
        std::string response(64, '\0');
        bool isAnswered = false;
        socket.async_read_some(
            asio::buffer(response), [&](beast::error_code error, std::size_t) { isAnswered = !error; });
        runUntil(one.loop, [&] { return isAnswered; });
        BOOST_TEST(
            (absl::StartsWith(response, "HTTP/1.1 400") || absl::StartsWith(response, "HTTP/1.1 431")));
        socket.close();
    }
    BOOST_TEST(one.call(http::verb::get, "/read/1", "after").response.result_int() == 200U);
}

// Guards against a node that buffers what a faulty peer sends in reply to its updates.
BOOST_DATA_TEST_CASE(anEndlessReplyOfAnotherNodeIsCutOff, boost::unit_test::data::make(kEndlessParts), part)
{
    Nodes nodes(part);
    EndlessTarget peer(nodes.loop, part.framing, part.repeatedText);
    peer.startsWithRepeatedText = nodes.target.startsWithRepeatedText;
    peer.isAlwaysEndless = true;
    nodes.serving.node->addPeer(peer.address());
    std::uint64_t peak = 0;
    runUntil(nodes.loop, [&] {
        peak = std::max(peak, heldResponseBytes(nodes.serving));
        return peer.cutResponses > 0;
    });
    BOOST_TEST(peak <= kMemoryBytes * kBufferedBodiesShare);
    BOOST_TEST(nodes.call(nodes.serving, "/read/1", "after").response.result_int() == 200U);
}

BOOST_DATA_TEST_CASE(anEndlessReplyOfTheStoreIsCutOff, boost::unit_test::data::make(kEndlessParts), part)
{
    asio::io_context loop;
    EndlessTarget server(loop, part.framing, part.repeatedText);
    server.startsWithRepeatedText = absl::StartsWith(part.repeatedText, "HTTP/");
    server.isAlwaysEndless = true;
    platform::ObjectStore client(loop, server.address());
    std::optional<absl::Status> status;
    client.port().list("nodes", ReadConsistency::Latest,
        [&](const absl::StatusOr<StoreListing>& listing) { status = listing.status(); });
    runUntil(loop, [&] { return status.has_value() && server.cutResponses > 0; });
    BOOST_TEST(!status->ok());
}

// Guards against a store whose listing always has another page.
BOOST_AUTO_TEST_CASE(aListingWithoutEndFails)
{
    asio::io_context loop;
    int pages = 0;
    ScriptedTarget server(loop, ScriptedTarget::Script([&](const Request&) {
        const std::string body
            = absl::StrCat(R"({"items":[{"metadata":{"name":"n)", ++pages, R"(","revision":1},"spec":")",
                std::string(kPieceBytes, 'x'), R"("}],"has_more":true,"at_rev":2})");
        return TargetResponse { absl::StrCat(
            "HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body) };
    }));
    platform::ObjectStore client(loop, server.address());
    std::optional<absl::Status> status;
    client.port().list("nodes", ReadConsistency::Latest,
        [&](const absl::StatusOr<StoreListing>& listing) { status = listing.status(); });
    runUntil(loop, [&] { return status.has_value() || pages > 1000; });
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST((status->code() == absl::StatusCode::kResourceExhausted));
}
