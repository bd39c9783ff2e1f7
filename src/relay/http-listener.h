/// HTTP server on the event loop. Supports persistent and pipelined connections, sends responses in request
/// order, and reports callers that disconnect before their response.
#pragma once

#include "jackdawwall/connection-eviction.h"
#include "relay/byte-budget.h"
#include "relay/callback-guard.h"
#include "relay/message.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace jackdawwall::relay {

class HttpSession;

/// A request that awaits its response.
struct IncomingRequest {
    Request request;
    absl::Time receivedAt; ///< When its last byte was read.
    asio::ip::address remoteAddress; ///< Of the caller.
    std::function<void()> onAbandoned; ///< Called if the caller disconnects before the response.
    std::function<void()> onFinished; ///< Called once, after the response or the disconnect.

    /// Sends the response and keeps its reservation until it is written. No effect after a disconnect or an
    /// earlier response.
    void respond(Response response, ByteReservation reservation = {});

    std::weak_ptr<HttpSession> session;
    std::optional<Response> response;
    ByteReservation bodyReservation; ///< For the request's body.
    ByteReservation responseReservation;
    std::size_t headBytes = 0; ///< Estimated memory of the parsed head.
    bool isDispatched = false;
    bool isDone = false;
};

using IncomingRequestPtr = std::shared_ptr<IncomingRequest>;
using RequestHandler = std::function<void(const IncomingRequestPtr&)>;

/// A request that a listener answered itself because it can't be parsed or exceeds a limit.
struct RejectedRequest {
    unsigned status = 0;
    std::string error;
    std::string start; ///< Start of the request line, escaped; see request-start.h.
    asio::ip::address remoteAddress;
};

/// Why a listener closed a connection that its client had not ended.
enum class CloseReason : std::uint8_t {
    Memory, ///< The budget was needed for others.
    Connections, ///< Too many connections; this one made room for a new one.
    Refused, ///< Too many connections, and none could make room.
    Unread, ///< The client read no response for the idle time.
};

absl::string_view toText(CloseReason reason);

struct ClosedConnection {
    CloseReason reason = CloseReason::Refused;
    std::size_t heldBytes = 0;
    asio::ip::address remoteAddress;
};

struct ListenerLimits {
    std::uint32_t headerBytes = 32U << 10;
    std::uint64_t bodyBytes = 64ULL << 20;
    absl::Duration headerTimeout = absl::Seconds(3);
    absl::Duration idleTimeout = absl::Seconds(15);
    std::size_t maxSessions = 4096;
    /// Clients may reuse connections that have been idle for up to this time.
    absl::Duration reusedFor = absl::Seconds(12);
    /// Fails a connection whose peer acknowledges no bytes for 2 s, also if it reads slowly; for nodes.
    bool failsUnacknowledged = false;
};

/// Binds an address; throws boost::system::system_error when it can't be bound.
Tcp::acceptor openAcceptor(asio::io_context& loop, const std::string& address);
/// "ip:port" of a bound acceptor.
std::string localAddress(const Tcp::acceptor& acceptor);

class HttpListener {
public:
    /// Starts to listen; see openAcceptor. `budget` limits what the connections hold; null: no limit.
    HttpListener(
        asio::io_context& loop, Tcp::acceptor acceptor, RequestHandler handler, ByteBudget* budget = nullptr);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /// Called for each request that is rejected without the handler; may be empty.
    std::function<void(const RejectedRequest&)> onRejected;
    /// Called for each connection that is closed because of a limit; may be empty.
    std::function<void(const ClosedConnection&)> onClosed;

    void setLimits(const ListenerLimits& limits) { limits_ = limits; }
    void setMaxSessions(std::size_t maximum) { limits_.maxSessions = maximum; }
    /// Makes each further response close its connection.
    void startClosing();
    /// Closes the connections without a pending response.
    void closeIdleSessions();
    std::size_t sessionCount() const { return sessions_.size(); }
    /// Replaces `candidate` by the connection that gives way before it when memory is needed, and returns
    /// that one; null if there is none. Ranks over `highest` are passed over.
    std::shared_ptr<HttpSession> evictionCandidate(
        EvictionCandidate& candidate, EvictionRank highest, absl::Time now) const;
    /// Requests that were read and whose response is not written yet.
    std::size_t pendingRequests() const;

private:
    friend class HttpSession;

    void accept();
    void open(Tcp::socket socket);
    /// Closes the connection that may best give way to a new one; false if there is none.
    bool evictForNew();
    void checkTimeouts();

    asio::io_context& loop_;
    Tcp::acceptor acceptor_;
    asio::steady_timer timeoutTimer_;
    RequestHandler handler_;
    ByteBudget* budget_;
    ListenerLimits limits_;
    bool isClosing_ = false;
    std::unordered_set<std::shared_ptr<HttpSession>> sessions_;
    std::vector<char> readBuffer_; ///< For one read at a time, so that an idle
                                   ///< connection holds none.
    CallbackGuard guard_;
};

} // namespace jackdawwall::relay
