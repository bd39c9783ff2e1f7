/// Client connections on the event loop, kept for reuse by destination. Tells a request that was never handed
/// over from one that may have run; bytes that belong to no request end their connection.
#pragma once

#include "relay/message.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jackdawwall::relay {

enum class ExchangeEnd : std::uint8_t {
    Complete, ///< A whole answer.
    NotSent, ///< Proof: no byte of the request was handed over.
    Lost, ///< The connection failed after the hand-over.
    Malformed, ///< What came is no whole answer to this request.
};

struct ExchangeResult {
    ExchangeEnd end = ExchangeEnd::Lost;
    Response response;
    bool isTimedOut = false; ///< It was broken off at its time limit.
};

struct ExchangePlan {
    std::string bytes; ///< The whole request, or its head.
    std::shared_ptr<const std::string> body; ///< What follows `bytes`; may be null.
    bool isHead = false;
    /// Header by which an answer names its request, and the name; an answer with another one is dropped.
    std::string idHeader;
    std::string id;
    absl::Duration connectTimeout = absl::Milliseconds(500);
    absl::Duration maxIdleTime = absl::Seconds(30); ///< Longest idle time of a connection that is reused.
    bool allowsUnframedResponse = true; ///< An answer may end with its connection.
    std::uint64_t maxResponseBytes = 32ULL << 20; ///< Largest answer.
};

using ExchangeDone = std::function<void(ExchangeResult)>;

class UpstreamPool;

/// One connection; carries one request at a time.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    UpstreamConnection(UpstreamPool& pool, Tcp::endpoint endpoint);

    /// Breaks off; the result is not reported.
    void cancel();

private:
    friend class UpstreamPool;

    void send(ExchangePlan plan, ExchangeDone done);
    void connect();
    void write();
    void read();
    void onRead(beast::error_code error, std::size_t bytes);
    void parse();
    bool acceptResponse();
    void onEndOfStream(beast::error_code error);
    void resetParser();
    void finish(ExchangeEnd end);
    void close();

    UpstreamPool& pool_;
    Tcp::endpoint endpoint_;
    Tcp::socket socket_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    ExchangePlan plan_;
    ExchangeDone done_;
    Response response_;
    bool isConnected_ = false;
    bool isReading_ = false;
    bool isWriting_ = false;
    bool isClosed_ = false;
    bool isReusable_ = true;
    int strayResponses_ = 0;
    absl::Time idleSince_;
    absl::Duration keepAlive_ = absl::InfiniteDuration(); ///< Announced by the other side.
};

class UpstreamPool {
public:
    explicit UpstreamPool(asio::io_context& loop)
        : loop_(loop)
    {
    }
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool&) = delete;
    UpstreamPool& operator=(const UpstreamPool&) = delete;

    /// Sends a request on a kept connection, or on a new one. `done` is called from the loop, never from
    /// here.
    std::shared_ptr<UpstreamConnection> send(
        const Tcp::endpoint& endpoint, ExchangePlan plan, ExchangeDone done);
    /// The same, broken off after `longest`; `done` is called once, unless the connection is cancelled and
    /// its time has not run out.
    std::shared_ptr<UpstreamConnection> sendWithTimeout(
        const Tcp::endpoint& endpoint, ExchangePlan plan, absl::Duration timeout, ExchangeDone done);
    /// Connections opened so far.
    std::uint64_t connectionsOpened() const { return opened_; }
    /// Closes the kept connections to an endpoint.
    void closeIdle(const Tcp::endpoint& endpoint);

private:
    friend class UpstreamConnection;

    asio::io_context& loop_;
    std::uint64_t opened_ = 0;
    std::map<Tcp::endpoint, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
};

} // namespace jackdawwall::relay
