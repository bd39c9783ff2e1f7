#include "target.h"

#include "adapter/json-reader.h"
#include "jackdawwall/core.h"
#include "wire-names.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <boost/asio/write.hpp>

namespace jackdawwall::soak {
namespace {

using relay::Request;
using relay::http::verb;

constexpr auto kHeartbeatInterval = std::chrono::milliseconds(300);
constexpr int kSlots = 12;
constexpr int kMinWorkMs = 3;
constexpr int kMaxWorkMs = 60;
constexpr int kSlowFactor = 8;
/// One execution in this many is long, so that the effect of a caller's disconnect can be observed.
constexpr std::uint64_t kLongWorkOneIn = 5;
constexpr int kLongWorkMs = 1000;
/// An unsolicited response is delayed, so that it may arrive when the connection already carries the next
/// request.
constexpr std::uint64_t kMaxUnsolicitedDelayMs = 30;
constexpr std::uint64_t kMaxBodyBytes = 60'000;

std::string responseHead(int status, const std::string& id, const std::string& extraHeaders)
{
    const relay::HeaderNames names = platform::headerNames();
    return absl::StrCat("HTTP/1.1 ", status, " X\r\n", names.requestId, ": ", id, "\r\n", names.seal,
        ": s\r\n", extraHeaders, "\r\n");
}

std::string completeResponse(const std::string& id)
{
    const std::string body = expectedBody(id);
    return responseHead(200, id, absl::StrCat("Content-Length: ", body.size(), "\r\n")) + body;
}

} // namespace

std::string expectedBody(const std::string& id)
{
    const std::uint64_t hash = stableHash(id);
    std::string body = absl::StrCat("answer to ", id, "\n");
    body.resize(body.size() + hash % kMaxBodyBytes, static_cast<char>('a' + hash % 26));
    return body;
}

/// A connection from the node; serves one request at a time.
class Target::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Target& target, relay::Tcp::socket socket)
        : target_(target)
        , socket_(std::move(socket))
        , timer_(target.loop_)
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(64ULL << 20);
        relay::http::async_read(socket_, buffer_, *parser_,
            [self = shared_from_this()](relay::beast::error_code error, std::size_t) {
                if (error)
                    self->closeConnection(false);
                else
                    self->onRequest();
            });
    }

    void closeConnection(bool isReset)
    {
        relay::beast::error_code ignored;
        if (isReset)
            socket_.set_option(relay::asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
        timer_.cancel();
        endExecution();
        target_.connections_.erase(shared_from_this());
    }

private:
    void endExecution()
    {
        const auto found = target_.executions_.find(id_);
        if (isExecuting_ && found != target_.executions_.end())
            target_.executions_.erase(found);
        isExecuting_ = false;
    }

    void onRequest()
    {
        const Request request = parser_->release();
        read(); // Receives the next request, or detects that the node closed the connection.
        const relay::HeaderNames names = platform::headerNames();
        id_ = std::string(relay::headerValue(request, names.requestId));
        if (relay::headerValue(request, names.expectTarget) != target_.lifetime()) {
            sendBytes(
                responseHead(421, id_, absl::StrCat(names.notRun, ": 1\r\nContent-Length: 0\r\n")), false);
            return;
        }
        const double draw = std::uniform_real_distribution<>(0, 1)(target_.random_);
        fault_ = draw < target_.faultProbability_ ? target_.fault_ : TargetFault::None;
        const bool isRefused = fault_ == TargetFault::Refuse;
        target_.record_.requestArrived(id_, { target_.lifetime(), relay::steadyNow(), !isRefused },
            stableHash(request.body()), target_.isPathDisturbed());
        if (isRefused) {
            sendBytes(
                responseHead(503, id_, absl::StrCat(names.notRun, ": 1\r\nContent-Length: 0\r\n")), false);
            return;
        }
        isExecuting_ = true;
        const int factor = fault_ == TargetFault::Slow ? kSlowFactor : 1;
        const bool isLong = target_.random_() % kLongWorkOneIn == 0;
        int work = factor * std::uniform_int_distribution<>(kMinWorkMs, kMaxWorkMs)(target_.random_);
        work = isLong ? kLongWorkMs : work;
        const bool isHanging = fault_ == TargetFault::Hang;
        target_.executions_.emplace(
            id_, isHanging ? absl::InfiniteFuture() : relay::steadyNow() + absl::Milliseconds(work));
        if (isHanging)
            return;
        timer_.expires_after(std::chrono::milliseconds(work));
        timer_.async_wait([self = shared_from_this()](relay::beast::error_code error) {
            if (!error)
                self->respond();
        });
    }

    void respond()
    {
        endExecution();
        const std::string fullResponse = completeResponse(id_);
        switch (fault_) {
        case TargetFault::LoseResponse:
            closeConnection(true);
            break;
        case TargetFault::TruncateResponse:
            sendBytes(fullResponse.substr(0, fullResponse.size() / 2), true);
            break;
        case TargetFault::UnsolicitedResponse:
            sendBytes(fullResponse, false);
            scheduleUnsolicitedResponse();
            break;
        case TargetFault::CloseDelimitedResponse:
            sendBytes(responseHead(200, id_, "Connection: close\r\n") + expectedBody(id_), true);
            break;
        default:
            sendBytes(fullResponse, false);
        }
    }

    void scheduleUnsolicitedResponse()
    {
        auto timer = std::make_shared<relay::asio::steady_timer>(
            target_.loop_, std::chrono::milliseconds(target_.random_() % kMaxUnsolicitedDelayMs));
        timer->async_wait([self = shared_from_this(), timer, id = id_](relay::beast::error_code) {
            if (!self->isWriting_)
                self->sendBytes(completeResponse(id + "-second"), false);
        });
    }

    void sendBytes(std::string bytes, bool closesConnection)
    {
        outgoing_ = std::move(bytes);
        isWriting_ = true;
        relay::asio::async_write(socket_, relay::asio::buffer(outgoing_),
            [self = shared_from_this(), closesConnection](relay::beast::error_code error, std::size_t) {
                self->isWriting_ = false;
                if (error || closesConnection)
                    self->closeConnection(false);
            });
    }

    Target& target_;
    relay::Tcp::socket socket_;
    relay::asio::steady_timer timer_;
    relay::beast::flat_buffer buffer_;
    std::optional<relay::http::request_parser<relay::http::string_body>> parser_;
    std::string id_;
    std::string outgoing_;
    TargetFault fault_ = TargetFault::None;
    bool isExecuting_ = false;
    bool isWriting_ = false;
};

Target::Target(relay::asio::io_context& loop, Record& record, std::string name, std::string service,
    relay::Tcp::acceptor acceptor, std::string heartbeatAddress, std::uint64_t seed)
    : loop_(loop)
    , record_(record)
    , name_(std::move(name))
    , service_(std::move(service))
    , acceptor_(std::move(acceptor))
    , heartbeatAddress_(std::move(heartbeatAddress))
    , random_(seed)
    , pool_(loop)
    , heartbeatTimer_(loop)
    , lifetimeTimer_(loop)
{
    startLifetime();
    accept();
    heartbeatLoop();
}

Target::~Target()
{
    const auto connections = connections_;
    for (const auto& connection : connections)
        connection->closeConnection(true);
}

std::string Target::lifetime() const
{
    return absl::StrCat(name_, "-", lifetimeNumber_);
}

std::optional<absl::Time> Target::executionEnd(const std::string& id) const
{
    const auto found = executions_.find(id);
    return found == executions_.end() ? std::nullopt : std::optional(found->second);
}

void Target::startLifetime()
{
    ++lifetimeNumber_;
    sequence_ = 0;
    startedMs_ = static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now()));
    state_ = State::Ready;
}

void Target::setFault(TargetFault fault, double probability)
{
    fault_ = fault;
    faultProbability_ = probability;
}

void Target::accept()
{
    acceptor_.async_accept([this](relay::beast::error_code error, relay::Tcp::socket socket) {
        if (error)
            return;
        const auto connection = std::make_shared<Connection>(*this, std::move(socket));
        if (state_ == State::Down) {
            connections_.insert(connection);
            connection->closeConnection(true);
        } else {
            connections_.insert(connection);
            connection->read();
        }
        accept();
    });
}

void Target::heartbeatLoop()
{
    if (state_ == State::Ready || state_ == State::Draining)
        sendHeartbeat(absl::StrCat(platform::kHeartbeatQuery, lifetime()), state_ == State::Draining);
    heartbeatTimer_.expires_after(kHeartbeatInterval);
    heartbeatTimer_.async_wait([this](relay::beast::error_code error) {
        if (!error)
            heartbeatLoop();
    });
}

void Target::sendHeartbeat(const std::string& query, bool isLeave)
{
    Json::Value body;
    body["born"] = Json::UInt64(startedMs_);
    body["service"] = service_;
    body["address"] = address();
    body["zone"] = "here";
    body["version"] = "v1";
    body["state"] = state_ == State::Ready ? "ready" : "draining";
    body["sequence"] = Json::UInt64(++sequence_);
    body["capacity"] = kSlots;
    body["cold_left_ms"] = 0;
    Request request { verb::post, absl::StrCat("/jackdawwall/rpc?", query), 11 };
    request.body() = canonicalJson(body);
    request.prepare_payload();
    relay::ExchangeRequest exchange;
    exchange.bytes = relay::serializeRequest(request);
    pool_.send(relay::parseEndpoint(heartbeatAddress_), std::move(exchange),
        [this, isLeave, reportedLifetime = lifetime()](const relay::ExchangeResult& result) {
            const bool isAcknowledged
                = result.status == relay::ExchangeStatus::Complete && result.response.result_int() == 200;
            if (isLeave && isAcknowledged)
                record_.leaveAcknowledged(reportedLifetime, relay::steadyNow());
        });
}

void Target::leave(bool skipsDraining, absl::Duration drainTime)
{
    if (state_ != State::Ready)
        return;
    state_ = skipsDraining ? State::Left : State::Draining;
    sendHeartbeat(
        absl::StrCat(skipsDraining ? platform::kLeaveQuery : platform::kHeartbeatQuery, lifetime()), true);
    lifetimeTimer_.expires_after(absl::ToChronoMicroseconds(drainTime));
    lifetimeTimer_.async_wait([this](relay::beast::error_code error) {
        if (!error)
            crash(absl::Milliseconds(200));
    });
}

void Target::crash(absl::Duration downTime)
{
    state_ = State::Down;
    const auto connections = connections_;
    for (const auto& connection : connections)
        connection->closeConnection(true);
    lifetimeTimer_.expires_after(absl::ToChronoMicroseconds(downTime));
    lifetimeTimer_.async_wait([this](relay::beast::error_code error) {
        if (!error)
            startLifetime();
    });
}

} // namespace jackdawwall::soak
