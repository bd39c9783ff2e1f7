#include "relay/http-listener.h"

#include "adapter/log.h"
#include "relay/http-session.h"

#include "absl/strings/str_cat.h"

#include <array>

namespace jackdawwall::relay {
namespace {

constexpr int kListenBacklog = 4096;
/// Minimum idle time before a close: the request of a new connection may still be in transit.
constexpr absl::Duration kMinIdleBeforeClose = absl::Milliseconds(100);
constexpr auto kTimeoutCheckInterval = std::chrono::milliseconds(500);
/// Delay before the next accept after a failure, e.g. when the process is out of descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr std::size_t kReadBytes = 16U << 10;
constexpr std::array<absl::string_view, 4> kCloseReasonNames { "memory", "connections", "refused", "unread" };

} // namespace

absl::string_view toText(CloseReason reason)
{
    return kCloseReasonNames.at(static_cast<std::size_t>(reason));
}

Tcp::acceptor openAcceptor(asio::io_context& loop, const std::string& address)
{
    Tcp::acceptor acceptor(loop);
    const Tcp::endpoint endpoint = parseEndpoint(address);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(kListenBacklog);
    return acceptor;
}

std::string localAddress(const Tcp::acceptor& acceptor)
{
    const Tcp::endpoint endpoint = acceptor.local_endpoint();
    return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

HttpListener::HttpListener(
    asio::io_context& loop, Tcp::acceptor acceptor, RequestHandler handler, ByteBudget* budget)
    : loop_(loop)
    , acceptor_(std::move(acceptor))
    , timeoutTimer_(loop)
    , handler_(std::move(handler))
    , budget_(budget)
    , readBuffer_(kReadBytes)
{
    accept();
    checkTimeouts();
}

HttpListener::~HttpListener()
{
    const auto sessions = sessions_;
    for (const auto& session : sessions)
        session->close();
}

void HttpListener::accept()
{
    acceptor_.async_accept(guard_.wrap([this](beast::error_code error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            logEvent(LogLevel::Warning, "accept-failed", { { "error", error.message() } });
            auto retryTimer = std::make_shared<asio::steady_timer>(loop_, kAcceptRetryDelay);
            retryTimer->async_wait(guard_.wrap([this, retryTimer](beast::error_code) { accept(); }));
            return;
        }
        open(std::move(socket));
        accept();
    }));
}

void HttpListener::open(Tcp::socket socket)
{
    if (sessions_.size() >= limits_.maxSessions && !evictForNew()) {
        beast::error_code ignored; // A caller that has already disconnected has no address.
        if (onClosed)
            onClosed({ CloseReason::Refused, 0, socket.remote_endpoint(ignored).address() });
        return;
    }
    auto session = std::make_shared<HttpSession>(*this, std::move(socket));
    sessions_.insert(session);
    session->start();
}

bool HttpListener::evictForNew()
{
    const absl::Time now = steadyNow();
    std::shared_ptr<HttpSession> chosen;
    EvictionCandidate best;
    for (const auto& session : sessions_) {
        const ConnectionLoad load = session->load();
        const EvictionCandidate candidate { connectionEvictionRank(load, limits_.reusedFor, now),
            load.waitingSince };
        if (candidate.rank != EvictionRank::Never && isEvictedBefore(candidate, best)) {
            best = candidate;
            chosen = session;
        }
    }
    if (chosen == nullptr)
        return false;
    chosen->evict(CloseReason::Connections);
    return true;
}

std::shared_ptr<HttpSession> HttpListener::evictionCandidate(
    EvictionCandidate& candidate, EvictionRank highest, absl::Time now) const
{
    std::shared_ptr<HttpSession> chosen;
    for (const auto& session : sessions_) {
        const ConnectionLoad load = session->load();
        const EvictionCandidate other { memoryEvictionRank(load, now), load.waitingSince };
        if (other.rank != EvictionRank::Never && other.rank <= highest && isEvictedBefore(other, candidate)) {
            candidate = other;
            chosen = session;
        }
    }
    return chosen;
}

void HttpListener::checkTimeouts()
{
    const absl::Time now = steadyNow();
    const std::vector<std::shared_ptr<HttpSession>> sessions(sessions_.begin(), sessions_.end());
    for (const auto& session : sessions)
        session->checkTimeouts(now);
    timeoutTimer_.expires_after(kTimeoutCheckInterval);
    timeoutTimer_.async_wait(guard_.wrap([this](beast::error_code error) {
        if (!error)
            checkTimeouts();
    }));
}

void HttpListener::startClosing()
{
    isClosing_ = true;
}

void HttpListener::closeIdleSessions()
{
    const std::vector<std::shared_ptr<HttpSession>> sessions(sessions_.begin(), sessions_.end());
    for (const auto& session : sessions) {
        if (session->isIdleFor(kMinIdleBeforeClose))
            session->finish();
    }
}

std::size_t HttpListener::pendingRequests() const
{
    std::size_t count = 0;
    for (const auto& session : sessions_)
        count += session->pendingRequests();
    return count;
}

} // namespace jackdawwall::relay
