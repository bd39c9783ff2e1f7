/// Fixture that runs nodes, scripted targets and an in-memory store on one event loop. Tests drive the loop
/// and wait for events instead of fixed times.
#pragma once

#include "adapter/json-reader.h"
#include "relay/relay-node.h"
#include "relay/routed-interface.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace jackdawwall::relay::test {

/// A test fails when an expected event takes longer than this.
inline constexpr auto kWaitTimeout = std::chrono::seconds(20);

/// Runs the loop until `isMet` returns true; fails the test after kWaitTimeout.
inline void runUntil(asio::io_context& loop, const std::function<bool()>& isMet)
{
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!isMet() && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(50));
    }
    BOOST_REQUIRE(isMet());
}

/// What a scripted target sends for one request.
struct TargetResponse {
    std::string bytes; ///< Written unchanged.
    bool closesConnection = false; ///< Closes the connection after writing.
    bool resetsConnection = false; ///< Closes the connection with a TCP reset.
};

/// A target on a raw socket. Reads complete requests and writes the responses that the script returns.
class ScriptedTarget {
public:
    using Script = std::function<std::optional<TargetResponse>(const Request&)>; ///< Empty: no response.
    /// Responds when the script calls the callback.
    using AsyncScript = std::function<void(const Request&, std::function<void(TargetResponse)>)>;

    ScriptedTarget(asio::io_context& loop, AsyncScript script)
        : script_(std::move(script))
        , acceptor_(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }
    ScriptedTarget(asio::io_context& loop, const Script& script)
        : ScriptedTarget(loop,
            AsyncScript([script](const Request& request, const std::function<void(TargetResponse)>& done) {
                if (auto response = script(request))
                    done(*std::move(response));
            }))
    {
    }

    /// Accepts no further connections and closes the open ones.
    void stop()
    {
        beast::error_code ignored;
        acceptor_.close(ignored);
        for (const auto& weakConnection : connections_) {
            if (const auto connection = weakConnection.lock())
                connection->socket.close(ignored);
        }
    }

    std::string address() const { return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port()); }

    std::vector<Request> requests;
    int connectionsOpened = 0;
    int connectionsClosedByPeer = 0;
    int latestConnection = 0; ///< Number of the connection of the latest request, from 1.

private:
    struct Connection : std::enable_shared_from_this<Connection> {
        Connection(ScriptedTarget& target, Tcp::socket accepted)
            : owner(target)
            , socket(std::move(accepted))
            , number(target.connectionsOpened)
        {
        }

        void read()
        {
            parser.emplace();
            parser->body_limit(64ULL << 20);
            parser->header_limit(64U << 10);
            http::async_read(socket, buffer, *parser,
                [self = shared_from_this()](beast::error_code error, std::size_t) { self->onRead(error); });
        }

        void onRead(beast::error_code error)
        {
            if (error) {
                owner.connectionsClosedByPeer += error == asio::error::operation_aborted ? 0 : 1;
                return;
            }
            owner.latestConnection = number;
            owner.requests.push_back(parser->release());
            const Request request = owner.requests.back();
            read(); // Detects a caller that disconnects before the response is sent.
            owner.script_(request,
                [self = shared_from_this()](TargetResponse response) { self->write(std::move(response)); });
        }

        void write(TargetResponse response)
        {
            unsentBytes = std::move(response.bytes);
            asio::async_write(socket, asio::buffer(unsentBytes),
                [self = shared_from_this(), closesConnection = response.closesConnection,
                    resetsConnection = response.resetsConnection](beast::error_code, std::size_t) {
                    if (resetsConnection)
                        self->socket.set_option(asio::socket_base::linger(true, 0));
                    beast::error_code ignored;
                    if (closesConnection || resetsConnection)
                        self->socket.close(ignored);
                });
        }

        ScriptedTarget& owner;
        Tcp::socket socket;
        const int number;
        beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        std::string unsentBytes;
    };

    void accept()
    {
        acceptor_.async_accept([this](beast::error_code error, Tcp::socket socket) {
            if (error)
                return;
            ++connectionsOpened;
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            connections_.push_back(connection);
            connection->read();
            accept();
        });
    }

    AsyncScript script_;
    Tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Connection>> connections_;
};

/// A complete response of a target, with the seal and the echoed request id.
inline std::string sealedResponse(const Request& request, const std::string& body, int status = 200)
{
    return absl::StrCat("HTTP/1.1 ", status,
        " X\r\nJackdaw-Seal: s\r\nJackdaw-Request-Id: ", headerValue(request, "Jackdaw-Request-Id"),
        "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

/// In-memory implementation of the platform's store.
class MemoryStore {
public:
    explicit MemoryStore(asio::io_context& loop)
        : loop_(loop)
    {
    }

    bool isUnavailable = false;
    int puts = 0;
    int failedUpdates = 0;
    std::map<StoreKind, int> reads; ///< Listings by kind.

    StoreRevision revision() const { return revision_; }
    /// Number of watches of a kind that wait for a change.
    std::size_t watching(const StoreKind& kind) const
    {
        const auto found = watchers_.find(kind);
        return found == watchers_.end() ? 0 : found->second.size();
    }

    ObjectStorePort port()
    {
        ObjectStorePort result;
        result.list = [this](const StoreKind& kind, ReadConsistency, auto done) {
            post([this, kind, done] {
                ++reads[kind];
                done(isUnavailable ? absl::StatusOr<StoreListing>(unavailableError()) : listing(kind));
            });
        };
        result.update
            = [this](const StoreKind& kind, const std::string& name, const MergeContent& merge, auto done) {
                  post([this, kind, name, merge, done] {
                      if (isUnavailable) {
                          ++failedUpdates;
                          done(unavailableError());
                          return;
                      }
                      ++puts;
                      StoredItem& stored = items_[kind][name];
                      const StoredItem previous = stored;
                      stored = { name, ++revision_, merge(previous.content), false };
                      notifyWatchers(kind);
                      done(StoredItem { name, revision_, previous.content, false });
                  });
              };
        result.watch = [this](const StoreKind& kind, StoreRevision after, const WatchTiming&, auto done) {
            post([this, kind, after, done] {
                if (isUnavailable)
                    done(unavailableError());
                else if (revision_ > after)
                    done(listing(kind));
                else
                    watchers_[kind].push_back(done);
            });
        };
        return result;
    }

    std::string content(const StoreKind& kind, const std::string& name) { return items_[kind][name].content; }

    void set(const StoreKind& kind, const std::string& name, const std::string& content)
    {
        items_[kind][name] = { name, ++revision_, content, false };
        notifyWatchers(kind);
    }

private:
    static absl::Status unavailableError() { return absl::UnavailableError("store unavailable"); }

    void post(std::function<void()> step) { asio::post(loop_, std::move(step)); }

    StoreListing listing(const StoreKind& kind)
    {
        StoreListing result;
        for (const auto& [name, item] : items_[kind])
            result.items.push_back(item);
        result.revision = revision_;
        return result;
    }

    void notifyWatchers(const StoreKind& kind)
    {
        for (const auto& done : std::exchange(watchers_[kind], {}))
            post([this, kind, done] { done(listing(kind)); });
    }

    asio::io_context& loop_;
    StoreRevision revision_ = 0;
    std::map<StoreKind, std::map<std::string, StoredItem>> items_;
    std::map<StoreKind, std::vector<std::function<void(absl::StatusOr<StoreListing>)>>> watchers_;
};

/// Parses a route table in the tests' notation: "VERSION;NAME HOST PREFIX SERVICE safe|unsafe TIMEOUT_MS
/// ATTEMPTS;...".
inline absl::StatusOr<RouteTable> tableFromText(const std::string& text)
{
    RouteTable table;
    std::istringstream in(text);
    std::string part;
    std::getline(in, part, ';');
    table.version = std::stoull(part);
    while (std::getline(in, part, ';')) {
        std::istringstream fields(part);
        Route route;
        WeightedService service;
        std::string kind;
        int timeoutMs = 0;
        fields >> route.name >> route.host >> route.prefix >> service.service >> kind >> timeoutMs
            >> route.attempts;
        route.isIdempotent = kind == "safe";
        route.priority = route.isIdempotent ? Priority::Browse : Priority::Critical;
        route.timeout = absl::Milliseconds(timeoutMs);
        route.services = { service };
        addRoute(table, route);
    }
    return table;
}

/// Parses the tests' target messages: POST /ready/ID/STARTED/SEQUENCE, /draining/ID/STARTED/SEQUENCE or
/// /leave/ID/STARTED/0.
inline TargetMessage targetMessageFromPath(const Request& request)
{
    std::istringstream in(std::string(request.target()));
    std::string part;
    std::vector<std::string> parts;
    while (std::getline(in, part, '/'))
        parts.push_back(part);
    TargetMessage message;
    if (parts.size() != 5)
        return message;
    const bool isLeave = parts[1] == "leave";
    message.kind = isLeave ? TargetMessage::Kind::Leave : TargetMessage::Kind::Heartbeat;
    message.heartbeat.lifetime = { parts[2], std::stoull(parts[3]) };
    message.heartbeat.sequence = std::stoull(parts[4]);
    message.heartbeat.phase = parts[1] == "draining" ? TargetPhase::Leaving : TargetPhase::Ready;
    message.heartbeat.slots = 8;
    return message;
}

/// An address of the target that refuses connections.
inline constexpr char kUnusedAddress[] = "127.0.0.1:1";
/// An address whose port the kernel chooses.
inline constexpr char kAnyAddress[] = "127.0.0.1:0";

/// A node with its settings, and a client that sends requests to its ports.
class TestNode {
public:
    TestNode(asio::io_context& loop, MemoryStore& store, const std::string& name, const std::string& service,
        const std::string& targetAddress)
        : loop_(loop)
        , clients_(loop)
    {
        settings.process = name;
        settings.service = service;
        settings.dataCentre = "here";
        settings.callerAddress = kAnyAddress;
        settings.peerAddress = kAnyAddress;
        settings.readyAddress = kAnyAddress;
        settings.heartbeatAddress = kAnyAddress;
        settings.operatorAddress = kAnyAddress;
        settings.targetAddress = targetAddress;
        settings.gossipInterval = absl::Milliseconds(50);
        settings.maxHeartbeatDelay = absl::ZeroDuration(); // Tests of delayed heartbeats set one.
        settings.stopTime = absl::Seconds(6);
        settings.arrivalBudget = ArrivalBudgetOptions {};
        settings.admission = routedAdmissionOptions();
        settings.routing = routedRoutingOptions();
        port.store = store.port();
        port.configurationKind = "configuration";
        port.configurationName = "main";
        port.nodeKind = "nodes";
        port.decodeConfiguration = [](const std::string& text) -> absl::StatusOr<Configuration> {
            absl::StatusOr<RouteTable> table = tableFromText(text);
            if (!table.ok())
                return table.status();
            return routedConfiguration(*std::move(table));
        };
        port.decodeTargetMessage = targetMessageFromPath;
    }

    /// Starts the node. From the first start on, the settings hold the ports that were bound, so that a
    /// restarted node has the same addresses.
    void start()
    {
        node = std::make_unique<RelayNode>(loop_, settings, port, routedInterface());
        settings = node->settings();
    }

    /// Sends a request. The returned result is empty until the exchange ends.
    std::shared_ptr<std::optional<ExchangeResult>> send(const std::string& address, Request request)
    {
        auto result = std::make_shared<std::optional<ExchangeResult>>();
        request.prepare_payload();
        ExchangeRequest exchange;
        exchange.bytes = serializeRequest(request);
        lastConnection = clients_.send(parseEndpoint(address), std::move(exchange),
            [result](ExchangeResult received) { *result = std::move(received); });
        return result;
    }

    ExchangeResult sendAndWait(const std::string& address, const Request& request)
    {
        const auto result = send(address, request);
        runUntil(loop_, [&] { return result->has_value(); });
        return *std::move(*result);
    }

    unsigned heartbeat(const std::string& path)
    {
        const Request request { http::verb::post, path, 11 };
        return sendAndWait(settings.heartbeatAddress, request).response.result_int();
    }

    unsigned ready()
    {
        return sendAndWait(settings.readyAddress, Request { http::verb::get, "/ready", 11 })
            .response.result_int();
    }

    /// Waits until the node reports that it is ready.
    void awaitReady()
    {
        runUntil(loop_, [&] { return ready() == 200; });
    }

    RelaySettings settings;
    PlatformPort port;
    std::unique_ptr<RelayNode> node;
    std::shared_ptr<UpstreamConnection> lastConnection;

private:
    asio::io_context& loop_;
    UpstreamPool clients_;
};

/// Builds a request of a caller.
inline Request callerRequest(
    http::verb method, const std::string& path, const std::string& id, const std::string& body = "")
{
    Request request { method, path, 11 };
    request.set(http::field::host, "a.example");
    request.set("Jackdaw-Request-Id", id);
    request.set("Jackdaw-Time-Left-Ms", "5000");
    request.body() = body;
    return request;
}

/// A node with one scripted target, ready to serve.
struct OneNode {
    OneNode(const std::string& configuration, const ScriptedTarget::Script& script)
        : target(loop, script)
        , node(loop, store, "n1", "books", target.address())
    {
        store.set("configuration", "main", configuration);
        node.start();
        node.awaitReady();
        BOOST_REQUIRE_EQUAL(node.heartbeat("/ready/t1/100/1"), 200U);
    }

    ExchangeResult call(http::verb method, const std::string& path, const std::string& id)
    {
        return node.sendAndWait(node.settings.callerAddress, callerRequest(method, path, id));
    }

    asio::io_context loop;
    MemoryStore store { loop };
    ScriptedTarget target;
    TestNode node;
};

} // namespace jackdawwall::relay::test
