/// Pool of HTTP client connections on the event loop, reused by destination. Distinguishes a request that was
/// never sent from one that may have run. A connection that receives unsolicited bytes is closed.
#pragma once

#include "relay/byte-budget.h"
#include "relay/callback-guard.h"
#include "relay/message.h"

#include "absl/container/flat_hash_set.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jackdawwall::relay {

enum class ExchangeStatus : std::uint8_t {
    Complete, ///< A complete response was received.
    NotSent, ///< It is certain that no byte of the request was sent.
    Lost, ///< The connection failed after sending had begun.
    Malformed, ///< The received bytes are not a complete response to this request.
    TooLarge, ///< The response exceeds a limit, or more than this process can hold.
};

struct ExchangeResult {
    ExchangeStatus status = ExchangeStatus::Lost;
    Response response;
    bool isTimedOut = false; ///< The exchange was aborted at its time limit.
    bool isReusedConnection = false; ///< The connection had carried an earlier exchange.
    ByteReservation reservation {}; ///< For the response; keep it as long as the response.
};

struct ExchangeRequest {
    std::string bytes; ///< The complete request, or its head.
    std::shared_ptr<const std::string> body; ///< Body that is sent after `bytes`; may be null.
    bool isHeadRequest = false; ///< The method is HEAD, so the response has no body.
    /// Header in which a response carries the id of its request, and that id. A response with a different id
    /// is discarded.
    std::string idHeader;
    std::string id;
    /// The server names the request in each response. On a reused connection, a response without the id may
    /// belong to an earlier request, so it makes the exchange Malformed.
    bool requiresId = false;
    absl::Duration connectTimeout = absl::Milliseconds(500);
    absl::Duration maxIdleTime = absl::Seconds(30); ///< Longest idle time of a connection that is reused.
    /// Accepts a response that ends with its connection, if that is closed and not reset.
    bool allowsUnframedResponse = true;
    std::uint64_t maxResponseBytes = 32ULL << 20; ///< Largest response body.
    std::uint32_t maxHeadBytes = 32U << 10; ///< Largest response head.
    /// For sendWithTimeout and idempotent requests: an exchange on a reused connection that fails, or has no
    /// response after this time, is repeated once on another connection. Infinite: it is not repeated.
    absl::Duration silenceTimeout = absl::InfiniteDuration();
};

using ExchangeCallback = std::function<void(ExchangeResult)>;

class UpstreamPool;

/// One connection; carries one request at a time.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    UpstreamConnection(UpstreamPool& pool, Tcp::endpoint endpoint);

    /// Closes the connection without reporting a result.
    void cancel();

private:
    friend class UpstreamPool;

    void send(ExchangeRequest exchange, ExchangeCallback done);
    void connect();
    void write();
    void read();
    void onRead(beast::error_code error, std::size_t bytes);
    void parse();
    /// Reserves the bytes received so far. Returns false, after it has ended the exchange, if they exceed a
    /// limit.
    bool reserveReceived();
    std::size_t receivedBytes() const;
    /// Ends the exchange because other responses need the memory. Reports it from the event loop.
    void evict();
    bool acceptResponse();
    void onEndOfStream(beast::error_code error);
    void resetParser();
    void finish(ExchangeStatus status);
    void close();

    UpstreamPool& pool_;
    Tcp::endpoint endpoint_;
    Tcp::socket socket_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    std::optional<ResponseParser> parser_;
    ExchangeRequest exchange_;
    ExchangeCallback done_;
    Response response_;
    ByteReservation reservation_; ///< For the bytes received in this exchange.
    bool isConnected_ = false;
    bool isReading_ = false;
    bool isWriting_ = false;
    bool hasWriteFailed_ = false; ///< The connection was reset, or its path is dead.
    bool isClosed_ = false;
    bool isReusable_ = true;
    std::size_t headBytes_ = 0; ///< Of the response that is being received.
    int strayResponses_ = 0;
    int interimResponses_ = 0;
    int exchanges_ = 0; ///< Started on this connection.
    absl::Time exchangeStartedAt_;
    absl::Time idleSince_;
    absl::Duration keepAlive_ = absl::InfiniteDuration(); ///< Idle timeout that the server announced.
};

class UpstreamPool {
public:
    /// `responseBudget` limits the bytes of all responses that are being received or still held; null: no
    /// limit.
    explicit UpstreamPool(asio::io_context& loop, ByteBudget* responseBudget = nullptr)
        : loop_(loop)
        , responseBudget_(responseBudget)
    {
    }
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool&) = delete;
    UpstreamPool& operator=(const UpstreamPool&) = delete;

    /// Sends a request on an idle connection, or on a new one. `done` is called from the event loop, never
    /// from within this function.
    std::shared_ptr<UpstreamConnection> send(
        const Tcp::endpoint& endpoint, ExchangeRequest exchange, ExchangeCallback done);
    /// Like send, but aborts the exchange after `timeout`. `done` is called once: with the result, or at the
    /// timeout, which is also reported for a connection that was cancelled before. A timeout also closes the
    /// idle connections that may be silent as well.
    std::shared_ptr<UpstreamConnection> sendWithTimeout(const Tcp::endpoint& endpoint,
        ExchangeRequest exchange, absl::Duration timeout, ExchangeCallback done);
    /// A server that may read requests slowly: only the time limits of the exchanges end them.
    void setSlowReader(const Tcp::endpoint& endpoint) { slowReader_ = endpoint; }
    /// Asked before a connection is opened, with the number of those that are open; empty: no limit. If it
    /// returns false and no idle connection can be closed, the exchange ends as NotSent.
    std::function<bool(std::size_t openConnections)> mayOpen;
    /// Number of connections opened so far.
    std::uint64_t connectionsOpened() const { return opened_; }
    /// Closes the idle connections to an endpoint.
    void closeIdle(const Tcp::endpoint& endpoint);

private:
    friend class UpstreamConnection;

    /// An exchange with a time limit.
    struct TimedExchange {
        asio::steady_timer timer;
        Tcp::endpoint endpoint;
        absl::Time startedAt;
        absl::Duration timeout;
        std::optional<ExchangeRequest> repetition; ///< Sent once if the exchange fails.
        ExchangeCallback done; ///< Null once called.
    };

    void finishTimed(TimedExchange& timed, ExchangeResult result);
    /// Closes the idle connections to an endpoint that carried no response since `time`. An exchange that
    /// began at that time and got no response suggests that whatever lies between the two ends has lost track
    /// of all older connections.
    void closeUnprovenSince(const Tcp::endpoint& endpoint, absl::Time time);

    /// Closes the connection that has been idle for longest; false if there is none.
    bool closeOldestIdle();
    /// The exchange that has received most so far; null if there is none.
    UpstreamConnection* largestExchange() const;

    asio::io_context& loop_;
    ByteBudget* responseBudget_;
    std::uint64_t opened_ = 0;
    std::size_t open_ = 0; ///< Connections that are not closed.
    Tcp::endpoint slowReader_;
    absl::flat_hash_set<UpstreamConnection*> active_; ///< Connections with an exchange in progress.
    CallbackGuard guard_;
    std::map<Tcp::endpoint, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
};

} // namespace jackdawwall::relay
