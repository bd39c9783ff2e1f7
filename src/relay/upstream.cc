#include "relay/upstream.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace jackdawwall::relay {
namespace {

constexpr std::size_t kReadBytes = 16U << 10;
/// Number of responses to other requests that are skipped before the exchange fails.
constexpr int kMaxStrayResponses = 3;
/// Number of interim responses after which the exchange fails.
constexpr int kMaxInterimResponses = 100;
/// Limit on received bytes that the parser can't use yet. It bounds what the parser itself does not: the line
/// of a chunk's size, chunk extensions and trailers. Larger than any head that is accepted.
constexpr std::size_t kMaxUnparsedBytes = 128U << 10;
/// Share of the announced idle timeout during which a connection is reused.
constexpr double kKeepAliveShare = 0.7;
/// The parser accepts any three digits.
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
/// An exchange that is cancelled after this time without a byte of the response casts doubt on the idle
/// connections to the same endpoint.
constexpr absl::Duration kSilenceSuspicion = absl::Milliseconds(500);

absl::Duration advertisedKeepAlive(const Response& response)
{
    for (const absl::string_view part : absl::StrSplit(fromBeast(response[http::field::keep_alive]), ',')) {
        const std::vector<absl::string_view> pair = absl::StrSplit(part, '=');
        double seconds = 0;
        if (pair.size() == 2 && pair[0].find("timeout") != absl::string_view::npos
            && absl::SimpleAtod(pair[1], &seconds))
            return absl::Seconds(seconds);
    }
    return absl::InfiniteDuration();
}

} // namespace

UpstreamConnection::UpstreamConnection(UpstreamPool& pool, Tcp::endpoint endpoint)
    : pool_(pool)
    , endpoint_(std::move(endpoint))
    , socket_(pool.loop_)
    , timer_(pool.loop_)
{
    ++pool_.open_;
}

void UpstreamConnection::send(ExchangeRequest exchange, ExchangeCallback done)
{
    exchange_ = std::move(exchange);
    done_ = std::move(done);
    strayResponses_ = 0;
    interimResponses_ = 0;
    if (pool_.responseBudget_ != nullptr)
        reservation_ = ByteReservation(*pool_.responseBudget_);
    pool_.active_.insert(this);
    ++exchanges_;
    exchangeStartedAt_ = steadyNow();
    if (isConnected_)
        write();
    else
        connect();
}

void UpstreamConnection::connect()
{
    timer_.expires_after(absl::ToChronoMicroseconds(exchange_.connectTimeout));
    timer_.async_wait([self = shared_from_this()](beast::error_code error) {
        if (!error && !self->isConnected_)
            self->finish(ExchangeStatus::NotSent);
    });
    socket_.async_connect(endpoint_, [self = shared_from_this()](beast::error_code error) {
        if (self->isClosed_)
            return;
        self->timer_.cancel();
        if (error) {
            self->finish(ExchangeStatus::NotSent);
            return;
        }
        self->isConnected_ = true;
        setSocketOptions(self->socket_);
        if (self->endpoint_ != self->pool_.slowReader_)
            limitUnacknowledgedTime(self->socket_);
        self->write();
        self->read();
    });
}

void UpstreamConnection::write()
{
    resetParser();
    isWriting_ = true;
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(exchange_.bytes),
        exchange_.body ? asio::buffer(*exchange_.body) : asio::const_buffer() };
    asio::async_write(socket_, buffers, [self = shared_from_this()](beast::error_code error, std::size_t) {
        self->isWriting_ = false;
        // The server may have responded before it closed the connection; the read reports the result.
        if (error) {
            self->isReusable_ = false;
            self->hasWriteFailed_ = true;
        }
    });
}

void UpstreamConnection::resetParser()
{
    headBytes_ = 0;
    parser_.emplace();
    parser_->skip(exchange_.isHeadRequest);
    parser_->header_limit(exchange_.maxHeadBytes);
    parser_->body_limit(exchange_.maxResponseBytes);
}

void UpstreamConnection::read()
{
    if (isReading_ || isClosed_)
        return;
    isReading_ = true;
    socket_.async_read_some(
        buffer_.prepare(kReadBytes), [self = shared_from_this()](beast::error_code error, std::size_t bytes) {
            self->isReading_ = false;
            if (!self->isClosed_)
                self->onRead(error, bytes);
        });
}

void UpstreamConnection::onRead(beast::error_code error, std::size_t bytes)
{
    buffer_.commit(bytes);
    if (!done_) { // Idle: the server closed the connection or sent unsolicited bytes.
        close();
        return;
    }
    if (error) {
        onEndOfStream(error);
        return;
    }
    parse();
    read();
}

std::size_t UpstreamConnection::receivedBytes() const
{
    const std::string* body = parser_ ? &parser_->get().body() : nullptr;
    return buffer_.size() + (body == nullptr || body->empty() ? 0 : body->capacity());
}

bool UpstreamConnection::reserveReceived()
{
    if (buffer_.size() > kMaxUnparsedBytes) {
        finish(ExchangeStatus::TooLarge);
        return false;
    }
    while (!reservation_.growTo(receivedBytes())) {
        // A response that never ends becomes the largest, so the others are not affected.
        UpstreamConnection* largest = pool_.largestExchange();
        if (largest == nullptr || largest == this || largest->reservation_.bytes() <= receivedBytes()) {
            finish(ExchangeStatus::TooLarge);
            return false;
        }
        largest->evict();
    }
    return true;
}

void UpstreamConnection::evict()
{
    const auto self = shared_from_this();
    parser_.reset();
    buffer_.consume(buffer_.size());
    reservation_ = {};
    close();
    asio::post(pool_.loop_, [self] {
        if (self->done_)
            self->finish(ExchangeStatus::TooLarge);
    });
}

void UpstreamConnection::onEndOfStream(beast::error_code error)
{
    isReusable_ = false;
    // The kernel reports a reset once. After a write that failed with it, the read gets an orderly end.
    const bool isOrderlyEnd = error == asio::error::eof && !hasWriteFailed_;
    if (isOrderlyEnd && parser_ && parser_->is_header_done() && exchange_.allowsUnframedResponse) {
        beast::error_code ignored;
        parser_->put_eof(ignored);
        if (!ignored && parser_->is_done() && acceptResponse())
            return;
        finish(ExchangeStatus::Malformed);
        return;
    }
    finish(parser_ && parser_->got_some() ? ExchangeStatus::Malformed : ExchangeStatus::Lost);
}

void UpstreamConnection::parse()
{
    while (done_ && buffer_.size() > 0) {
        beast::error_code error;
        const std::size_t parsed = parseBytes(*parser_, buffer_.data(), error);
        buffer_.consume(parsed);
        headBytes_ += parsed;
        // The parser's limit on heads does not hold for complete lines that arrive one by one.
        if (!parser_->is_header_done() && headBytes_ > exchange_.maxHeadBytes)
            error = http::error::header_limit;
        if (error && error != http::error::need_more) {
            isReusable_ = false;
            const bool isTooLarge = error == http::error::body_limit || error == http::error::header_limit
                || error == http::error::buffer_overflow;
            finish(isTooLarge ? ExchangeStatus::TooLarge : ExchangeStatus::Malformed);
            return;
        }
        if (!reserveReceived() || !parser_->is_done())
            return;
        if (acceptResponse())
            return;
        resetParser();
    }
}

/// Reports the parsed response. Returns false for an interim response or one to another request.
bool UpstreamConnection::acceptResponse()
{
    const bool keepsConnection = parser_->keep_alive();
    response_ = parser_->release();
    if (response_.result_int() < kFirstStatus) {
        isReusable_ = false;
        finish(ExchangeStatus::Malformed);
        return true;
    }
    if (response_.result_int() < kFirstFinalStatus) {
        if (++interimResponses_ <= kMaxInterimResponses)
            return false;
        finish(ExchangeStatus::TooLarge);
        return true;
    }
    const absl::string_view id = exchange_.idHeader.empty() ? "" : headerValue(response_, exchange_.idHeader);
    if (!id.empty() && id != exchange_.id && ++strayResponses_ <= kMaxStrayResponses) {
        isReusable_ = false;
        return false;
    }
    if (id.empty() && exchange_.requiresId && exchanges_ > 1) {
        isReusable_ = false;
        finish(ExchangeStatus::Malformed);
        return true;
    }
    isReusable_ = isReusable_ && keepsConnection && buffer_.size() == 0 && !isWriting_;
    keepAlive_ = advertisedKeepAlive(response_);
    finish(strayResponses_ > kMaxStrayResponses ? ExchangeStatus::Malformed : ExchangeStatus::Complete);
    return true;
}

void UpstreamConnection::finish(ExchangeStatus status)
{
    const auto self = shared_from_this();
    timer_.cancel();
    pool_.active_.erase(this);
    const ExchangeCallback done = std::exchange(done_, nullptr);
    ExchangeResult result { status, std::move(response_), false, exchanges_ > 1, std::move(reservation_) };
    reservation_ = {};
    if (status != ExchangeStatus::Complete)
        result.reservation = {};
    response_ = {};
    parser_.reset();
    exchange_ = {};
    if (status == ExchangeStatus::Complete && isReusable_ && !isClosed_) {
        idleSince_ = steadyNow();
        pool_.idle_[endpoint_].push_back(self);
    } else {
        close();
    }
    if (done)
        done(std::move(result));
}

void UpstreamConnection::cancel()
{
    const bool isSilent = done_ && exchanges_ > 1 && !(parser_ && parser_->got_some())
        && steadyNow() - exchangeStartedAt_ >= kSilenceSuspicion;
    done_ = nullptr;
    close();
    if (isSilent)
        pool_.closeUnprovenSince(endpoint_, exchangeStartedAt_);
}

void UpstreamConnection::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    --pool_.open_;
    pool_.active_.erase(this);
    timer_.cancel();
    beast::error_code error;
    socket_.close(error);
    const auto found = pool_.idle_.find(endpoint_);
    if (found != pool_.idle_.end())
        std::erase_if(found->second, [&](const auto& other) { return other.get() == this; });
}

UpstreamPool::~UpstreamPool()
{
    const auto active = std::exchange(active_, {});
    for (UpstreamConnection* connection : active)
        connection->cancel();
    const auto idle = std::exchange(idle_, {});
    for (const auto& [endpoint, connections] : idle) {
        for (const auto& connection : connections)
            connection->cancel();
    }
}

std::shared_ptr<UpstreamConnection> UpstreamPool::send(
    const Tcp::endpoint& endpoint, ExchangeRequest exchange, ExchangeCallback done)
{
    const absl::Time now = steadyNow();
    std::vector<std::shared_ptr<UpstreamConnection>>& idle = idle_[endpoint];
    std::shared_ptr<UpstreamConnection> chosen;
    while (!idle.empty() && !chosen) {
        std::shared_ptr<UpstreamConnection> newest = idle.back();
        idle.pop_back();
        const absl::Duration idleTime = now - newest->idleSince_;
        if (idleTime <= std::min(exchange.maxIdleTime, newest->keepAlive_ * kKeepAliveShare))
            chosen = std::move(newest);
        else
            newest->cancel();
    }
    if (!chosen) {
        const bool isAllowed = !mayOpen || mayOpen(open_) || closeOldestIdle();
        chosen = std::make_shared<UpstreamConnection>(*this, endpoint);
        if (!isAllowed) {
            chosen->done_ = std::move(done);
            chosen->close();
            asio::post(loop_, [chosen] {
                if (chosen->done_)
                    chosen->finish(ExchangeStatus::NotSent);
            });
            return chosen;
        }
        ++opened_;
    }
    chosen->send(std::move(exchange), std::move(done));
    return chosen;
}

std::shared_ptr<UpstreamConnection> UpstreamPool::sendWithTimeout(
    const Tcp::endpoint& endpoint, ExchangeRequest exchange, absl::Duration timeout, ExchangeCallback done)
{
    const auto timed = std::make_shared<TimedExchange>(TimedExchange {
        asio::steady_timer(loop_), endpoint, steadyNow(), timeout, std::nullopt, std::move(done) });
    const absl::Duration silenceTimeout = exchange.silenceTimeout;
    if (silenceTimeout < timeout) {
        timed->repetition = exchange;
        timed->repetition->silenceTimeout = absl::InfiniteDuration();
    }
    auto connection = send(endpoint, std::move(exchange),
        [this, timed](ExchangeResult result) { finishTimed(*timed, std::move(result)); });
    if (connection->exchanges_ == 1)
        timed->repetition.reset();
    timed->timer.expires_after(absl::ToChronoMicroseconds(timed->repetition ? silenceTimeout : timeout));
    timed->timer.async_wait(guard_.wrap([this, timed, connection](beast::error_code error) {
        if (error || !timed->done)
            return;
        ExchangeResult timedOut;
        timedOut.isTimedOut = true;
        timedOut.isReusedConnection = connection->exchanges_ > 1;
        connection->cancel();
        closeUnprovenSince(timed->endpoint, timed->startedAt);
        finishTimed(*timed, std::move(timedOut));
    }));
    return connection;
}

bool UpstreamPool::closeOldestIdle()
{
    std::shared_ptr<UpstreamConnection> oldest;
    for (const auto& [endpoint, connections] : idle_) {
        for (const auto& connection : connections) {
            if (!oldest || connection->idleSince_ < oldest->idleSince_)
                oldest = connection;
        }
    }
    if (oldest)
        oldest->cancel();
    return oldest != nullptr;
}

UpstreamConnection* UpstreamPool::largestExchange() const
{
    const auto largest = std::max_element(
        active_.begin(), active_.end(), [](const UpstreamConnection* left, const UpstreamConnection* right) {
            return left->reservation_.bytes() < right->reservation_.bytes();
        });
    return largest == active_.end() ? nullptr : *largest;
}

void UpstreamPool::finishTimed(TimedExchange& timed, ExchangeResult result)
{
    if (!timed.done)
        return;
    timed.timer.cancel();
    ExchangeCallback done = std::exchange(timed.done, nullptr);
    const absl::Duration remaining = timed.startedAt + timed.timeout - steadyNow();
    if (result.status == ExchangeStatus::Complete || !timed.repetition || remaining <= absl::ZeroDuration()) {
        done(std::move(result));
        return;
    }
    closeUnprovenSince(timed.endpoint, timed.startedAt);
    sendWithTimeout(timed.endpoint, *std::move(timed.repetition), remaining, std::move(done));
}

void UpstreamPool::closeUnprovenSince(const Tcp::endpoint& endpoint, absl::Time time)
{
    const auto found = idle_.find(endpoint);
    if (found == idle_.end())
        return;
    const auto connections = found->second;
    for (const auto& connection : connections) {
        if (connection->idleSince_ < time)
            connection->cancel();
    }
}

void UpstreamPool::closeIdle(const Tcp::endpoint& endpoint)
{
    const auto found = idle_.find(endpoint);
    if (found == idle_.end())
        return;
    const auto connections = std::exchange(found->second, {});
    for (const auto& connection : connections)
        connection->cancel();
}

} // namespace jackdawwall::relay
