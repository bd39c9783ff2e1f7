/// Nodes on one event loop beside scripted targets and a store in memory; tests drive the loop and wait for
/// events, never for the clock.
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

/// Longest wait for an event before a test fails.
inline constexpr auto kPatience = std::chrono::seconds(20);

/// Runs the loop until `isMet`; fails the test when that does not come.
inline void runUntil(asio::io_context& loop, const std::function<bool()>& isMet)
{
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!isMet() && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(50));
    }
    BOOST_REQUIRE(isMet());
}

/// What a scripted target does with one request.
struct TargetReply {
    std::string bytes; ///< Written as they are.
    bool closes = false; ///< Closes after writing.
    bool isReset = false; ///< Closes with a reset.
};

/// A target on a raw socket. Reads whole requests and writes what the script says.
class ScriptedTarget {
public:
    using Script = std::function<std::optional<TargetReply>(const Request&)>; ///< Empty: stays silent.
    /// Answers when it calls back.
    using LateScript = std::function<void(const Request&, std::function<void(TargetReply)>)>;

    ScriptedTarget(asio::io_context& loop, LateScript script)
        : script_(std::move(script))
        , acceptor_(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }
    ScriptedTarget(asio::io_context& loop, const Script& script)
        : ScriptedTarget(
            loop, LateScript([script](const Request& request, const std::function<void(TargetReply)>& done) {
                if (auto reply = script(request))
                    done(*std::move(reply));
            }))
    {
    }

    /// Takes no further connection and ends those that are open.
    void stop()
    {
        beast::error_code ignored;
        acceptor_.close(ignored);
        for (const auto& held : connections_) {
            if (const auto connection = held.lock())
                connection->socket.close(ignored);
        }
    }

    std::string address() const { return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port()); }

    std::vector<Request> requests;
    int opened = 0;
    int closedByPeer = 0;

private:
    struct Connection : std::enable_shared_from_this<Connection> {
        Connection(ScriptedTarget& target, Tcp::socket accepted)
            : owner(target)
            , socket(std::move(accepted))
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
                owner.closedByPeer += error == asio::error::operation_aborted ? 0 : 1;
                return;
            }
            owner.requests.push_back(parser->release());
            const Request request = owner.requests.back();
            read(); // A caller that leaves is seen while the answer is still open.
            owner.script_(
                request, [self = shared_from_this()](TargetReply reply) { self->write(std::move(reply)); });
        }

        void write(TargetReply reply)
        {
            writing = std::move(reply.bytes);
            asio::async_write(socket, asio::buffer(writing),
                [self = shared_from_this(), closes = reply.closes, isReset = reply.isReset](
                    beast::error_code, std::size_t) {
                    if (isReset)
                        self->socket.set_option(asio::socket_base::linger(true, 0));
                    beast::error_code ignored;
                    if (closes || isReset)
                        self->socket.close(ignored);
                });
        }

        ScriptedTarget& owner;
        Tcp::socket socket;
        beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        std::string writing;
    };

    void accept()
    {
        acceptor_.async_accept([this](beast::error_code error, Tcp::socket socket) {
            if (error)
                return;
            ++opened;
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            connections_.push_back(connection);
            connection->read();
            accept();
        });
    }

    LateScript script_;
    Tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Connection>> connections_;
};

/// Whole answer of a target, with the seal and the echoed id.
inline std::string sealedAnswer(const Request& request, const std::string& body, int status = 200)
{
    return absl::StrCat("HTTP/1.1 ", status,
        " X\r\nJackdaw-Seal: s\r\nJackdaw-Request-Id: ", headerOf(request, "Jackdaw-Request-Id"),
        "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

/// The platform's store in memory.
class MemoryStore {
public:
    explicit MemoryStore(asio::io_context& loop)
        : loop_(loop)
    {
    }

    bool isAway = false;
    int puts = 0;

    StoreRevision revision() const { return revision_; }

    ObjectStorePort port()
    {
        ObjectStorePort made;
        made.list = [this](const StoreKind& kind, auto done) {
            answer(
                [this, kind, done] { done(isAway ? absl::StatusOr<StoreListing>(away()) : listing(kind)); });
        };
        made.put = [this](const StoreKind& kind, const StoredItem& item, auto done) {
            answer([this, kind, item, done] {
                if (isAway) {
                    done(away());
                    return;
                }
                ++puts;
                StoredItem& held = items_[kind][item.name];
                const StoredItem before = held;
                held = item;
                held.revision = ++revision_;
                wake(kind);
                done(StoredItem { item.name, revision_, before.content, false });
            });
        };
        made.watch = [this](const StoreKind& kind, StoreRevision after, absl::Duration, auto done) {
            answer([this, kind, after, done] {
                if (isAway)
                    done(away());
                else if (revision_ > after)
                    done(listing(kind));
                else
                    watchers_[kind].push_back(done);
            });
        };
        return made;
    }

    void set(const StoreKind& kind, const std::string& name, const std::string& content)
    {
        items_[kind][name] = { name, ++revision_, content, false };
        wake(kind);
    }

private:
    static absl::Status away() { return absl::UnavailableError("away"); }

    void answer(std::function<void()> step) { asio::post(loop_, std::move(step)); }

    StoreListing listing(const StoreKind& kind)
    {
        StoreListing made;
        for (const auto& [name, item] : items_[kind])
            made.items.push_back(item);
        made.revision = revision_;
        return made;
    }

    void wake(const StoreKind& kind)
    {
        for (const auto& done : std::exchange(watchers_[kind], {}))
            answer([this, kind, done] { done(listing(kind)); });
    }

    asio::io_context& loop_;
    StoreRevision revision_ = 0;
    std::map<StoreKind, std::map<std::string, StoredItem>> items_;
    std::map<StoreKind, std::vector<std::function<void(absl::StatusOr<StoreListing>)>>> watchers_;
};

/// A table in the tests' own text: "VERSION;NAME HOST PREFIX SERVICE safe|unsafe TIMEOUT_MS ATTEMPTS;...".
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
        RoutePart service;
        std::string kind;
        int timeoutMs = 0;
        fields >> route.name >> route.host >> route.prefix >> service.service >> kind >> timeoutMs
            >> route.attempts;
        route.isRepeatable = kind == "safe";
        route.timeout = absl::Milliseconds(timeoutMs);
        route.parts = { service };
        addRoute(table, route);
    }
    return table;
}

/// Heartbeats of the tests: POST /heartbeat/ID/STARTED/SEQUENCE or /draining/..., or /leave/ID/STARTED/0.
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

/// An address whose port the kernel chose and which is free again.
inline std::string freeAddress(asio::io_context& loop)
{
    Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return absl::StrCat("127.0.0.1:", acceptor.local_endpoint().port());
}

/// A node with its settings and a caller's way to its ports.
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
        settings.callerAddress = freeAddress(loop);
        settings.peerAddress = freeAddress(loop);
        settings.readyAddress = freeAddress(loop);
        settings.heartbeatAddress = freeAddress(loop);
        settings.operatorAddress = freeAddress(loop);
        settings.targetAddress = targetAddress;
        settings.gossipInterval = absl::Milliseconds(50);
        settings.stopTime = absl::Seconds(6);
        settings.arrivalBudget = ArrivalBudgetOptions {};
        settings.admission = routedAdmission();
        settings.routing = routedRouting();
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

    void start() { node = std::make_unique<RelayNode>(loop_, settings, port, routedInterface()); }

    /// Sends a request and gives what came; empty `result` until then.
    std::shared_ptr<std::optional<ExchangeResult>> ask(const std::string& address, Request request)
    {
        auto result = std::make_shared<std::optional<ExchangeResult>>();
        request.prepare_payload();
        ExchangePlan plan;
        plan.bytes = toBytes(request);
        last = clients_.send(parseEndpoint(address), std::move(plan),
            [result](ExchangeResult given) { *result = std::move(given); });
        return result;
    }

    ExchangeResult askAndWait(const std::string& address, const Request& request)
    {
        const auto result = ask(address, request);
        runUntil(loop_, [&] { return result->has_value(); });
        return **result;
    }

    unsigned heartbeat(const std::string& path)
    {
        const Request request { http::verb::post, path, 11 };
        return askAndWait(settings.heartbeatAddress, request).response.result_int();
    }

    unsigned ready()
    {
        return askAndWait(settings.readyAddress, Request { http::verb::get, "/ready", 11 })
            .response.result_int();
    }

    /// Waits until callers' requests for `service` have a target.
    void awaitReady()
    {
        runUntil(loop_, [&] { return ready() == 200; });
    }

    RelaySettings settings;
    PlatformPort port;
    std::unique_ptr<RelayNode> node;
    std::shared_ptr<Upstream> last;

private:
    asio::io_context& loop_;
    UpstreamPool clients_;
};

/// A caller's request.
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

} // namespace jackdawwall::relay::test
