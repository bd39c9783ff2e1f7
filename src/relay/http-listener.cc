#include "relay/http-listener.h"

#include "adapter/log.h"
#include "relay/http-session.h"

#include "absl/strings/str_cat.h"

namespace jackdawwall::relay {
namespace {

constexpr int kBacklog = 4096;
/// A connection that was just opened has its request on the way.
constexpr absl::Duration kCloseIdleAfter = absl::Milliseconds(100);
constexpr auto kSweepInterval = std::chrono::milliseconds(500);
/// Pause after accept failed, for instance for want of descriptors.
constexpr auto kAcceptPause = std::chrono::milliseconds(20);

} // namespace

Tcp::acceptor openAcceptor(asio::io_context& loop, const std::string& address)
{
    Tcp::acceptor acceptor(loop);
    const Tcp::endpoint endpoint = parseEndpoint(address);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(kBacklog);
    return acceptor;
}

std::string addressOf(const Tcp::acceptor& acceptor)
{
    const Tcp::endpoint endpoint = acceptor.local_endpoint();
    return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

HttpListener::HttpListener(
    asio::io_context& loop, Tcp::acceptor acceptor, RequestHandler handler, ByteBudget* budget)
    : loop_(loop)
    , acceptor_(std::move(acceptor))
    , sweepTimer_(loop)
    , handler_(std::move(handler))
    , budget_(budget)
{
    accept();
    sweep();
}

HttpListener::~HttpListener()
{
    const auto sessions = sessions_;
    for (const auto& session : sessions)
        session->close();
}

void HttpListener::accept()
{
    acceptor_.async_accept([this](beast::error_code error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            logEvent(LogLevel::Warning, "accept-failed", { { "error", error.message() } });
            auto pause = std::make_shared<asio::steady_timer>(loop_, kAcceptPause);
            pause->async_wait([this, pause](beast::error_code) { accept(); });
            return;
        }
        if (sessions_.size() < limits_.sessions) {
            auto session = std::make_shared<HttpSession>(*this, std::move(socket));
            sessions_.insert(session);
            session->start();
        }
        accept();
    });
}

void HttpListener::sweep()
{
    const absl::Time now = steadyNow();
    const std::vector<std::shared_ptr<HttpSession>> sessions(sessions_.begin(), sessions_.end());
    for (const auto& session : sessions)
        session->checkTime(now);
    sweepTimer_.expires_after(kSweepInterval);
    sweepTimer_.async_wait([this](beast::error_code error) {
        if (!error)
            sweep();
    });
}

void HttpListener::startClosing()
{
    isClosing_ = true;
}

void HttpListener::closeIdle()
{
    const std::vector<std::shared_ptr<HttpSession>> sessions(sessions_.begin(), sessions_.end());
    for (const auto& session : sessions) {
        if (session->isIdleFor(kCloseIdleAfter))
            session->finish();
    }
}

std::size_t HttpListener::openRequests() const
{
    std::size_t count = 0;
    for (const auto& session : sessions_)
        count += session->openRequests();
    return count;
}

} // namespace jackdawwall::relay
