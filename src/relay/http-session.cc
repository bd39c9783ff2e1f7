#include "relay/http-session.h"

#include "relay/request-start.h"

#include "absl/strings/match.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace jackdawwall::relay {
namespace {

constexpr absl::string_view kLineEnd = "\r\n";
constexpr std::size_t kReadSize = 16U << 10;
/// Limit on the unparsed bytes of a connection.
constexpr std::size_t kMaxBufferedBytes = 64U << 10;
/// Limit on the pending requests of a connection.
constexpr std::size_t kMaxPipelinedRequests = 16;
/// How long the caller may take to close after the last response.
constexpr absl::Duration kLingerTimeout = absl::Seconds(2);
/// How long a caller may take to read a response.
constexpr absl::Duration kWriteTimeout = absl::Seconds(20);
/// Retry delay for callers whose body exceeds the buffer budget.
constexpr absl::Duration kBusyRetryAfter = absl::Milliseconds(300);
constexpr unsigned kPayloadTooLarge = 413;

bool mayRunConcurrently(const IncomingRequest& incoming)
{
    const http::verb method = incoming.request.method();
    return method == http::verb::get || method == http::verb::head;
}

http::status statusFor(beast::error_code error)
{
    if (error == http::error::body_limit)
        return http::int_to_status(kPayloadTooLarge);
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return http::status::request_header_fields_too_large;
    return http::status::bad_request;
}

} // namespace

void IncomingRequest::respond(Response newResponse, ByteReservation reservation)
{
    if (isDone)
        return;
    isDone = true;
    onAbandoned = nullptr;
    response = std::move(newResponse);
    responseReservation = std::move(reservation);
    if (onFinished)
        std::exchange(onFinished, nullptr)();
    if (const auto activeSession = session.lock())
        activeSession->flush();
}

HttpSession::HttpSession(HttpListener& listener, Tcp::socket socket)
    : listener_(listener)
    , socket_(std::move(socket))
    , waitStartedAt_(steadyNow())
{
    setSocketOptions(socket_);
    beast::error_code ignoredError; // A caller that has already disconnected has no address.
    remoteAddress_ = socket_.remote_endpoint(ignoredError).address();
}

void HttpSession::start()
{
    read();
}

bool HttpSession::isIdleFor(absl::Duration time) const
{
    return pending_.empty() && !isWriting_ && !hasPartialRequest_ && steadyNow() - waitStartedAt_ >= time;
}

void HttpSession::read()
{
    if (isReading_ || isClosed_ || buffer_.size() >= kMaxBufferedBytes)
        return;
    isReading_ = true;
    socket_.async_read_some(
        buffer_.prepare(kReadSize), [self = shared_from_this()](beast::error_code error, std::size_t bytes) {
            self->isReading_ = false;
            self->onRead(error, bytes);
        });
}

void HttpSession::onRead(beast::error_code error, std::size_t bytes)
{
    if (isClosed_)
        return;
    if (error) {
        close();
        return;
    }
    buffer_.commit(bytes);
    if (isEnding_)
        buffer_.consume(buffer_.size());
    else
        parseRequests();
    read();
}

void HttpSession::parseRequests()
{
    while (!isEnding_ && !isClosed_ && pending_.size() < kMaxPipelinedRequests && parseRequest()) { }
}

/// Empty lines before a request are ignored (RFC 9112, 2.2).
void HttpSession::skipEmptyLines()
{
    while (absl::StartsWith(unparsedBytes(), kLineEnd))
        buffer_.consume(kLineEnd.size());
}

absl::string_view HttpSession::unparsedBytes() const
{
    return { static_cast<const char*>(buffer_.data().data()), buffer_.size() };
}

bool HttpSession::parseRequest()
{
    if (!parser_)
        skipEmptyLines();
    // Nothing, or the first byte of one more empty line.
    if (buffer_.size() == 0 || (!parser_ && unparsedBytes() == kLineEnd.substr(0, 1)))
        return false;
    if (!parser_) {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(listener_.limits_.headerBytes);
        parser_->body_limit(listener_.limits_.bodyBytes);
    }
    if (!hasPartialRequest_) {
        hasPartialRequest_ = true;
        waitStartedAt_ = steadyNow();
    }
    beast::error_code error;
    const bool wasHeaderDone = parser_->is_header_done();
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error && error != http::error::need_more) {
        refuse(statusFor(error), error.message());
        return false;
    }
    if (parser_->is_header_done() && !reserveBody()) {
        refuse(http::status::service_unavailable, "not run; too much is held for others");
        return false;
    }
    if (!wasHeaderDone && parser_->is_header_done() && !parser_->is_done())
        sendContinue();
    if (!parser_->is_done()) {
        // The parser can't use what it has, and no more is read: for example a chunk's line without end.
        if (buffer_.size() >= kMaxBufferedBytes)
            refuse(http::status::bad_request, "a line of the body is too long");
        return false;
    }
    auto incoming = std::make_shared<IncomingRequest>();
    incoming->request = parser_->release();
    useOriginForm(incoming->request);
    incoming->receivedAt = steadyNow();
    incoming->remoteAddress = remoteAddress_;
    incoming->session = weak_from_this();
    incoming->bodyReservation = std::exchange(bodyReservation_, {});
    hasBodyReservation_ = false;
    parser_.reset();
    hasPartialRequest_ = false;
    pending_.push_back(std::move(incoming));
    dispatch();
    return true;
}

/// Reserves the larger of the body's declared and received size from the budget.
bool HttpSession::reserveBody()
{
    if (listener_.budget_ == nullptr)
        return true;
    if (!hasBodyReservation_)
        bodyReservation_ = ByteReservation(*listener_.budget_);
    hasBodyReservation_ = true;
    const std::uint64_t declaredSize = parser_->content_length().value_or(0);
    return bodyReservation_.growTo(std::max<std::size_t>(declaredSize, parser_->get().body().size()));
}

/// Responds with an error and ends the connection, as its remaining bytes can't be parsed.
void HttpSession::refuse(http::status status, absl::string_view text)
{
    auto incoming = std::make_shared<IncomingRequest>();
    incoming->isDispatched = true;
    incoming->isDone = true;
    incoming->response = makeTextResponse(
        status, text, status == http::status::service_unavailable ? kBusyRetryAfter : absl::ZeroDuration());
    incoming->response->keep_alive(false);
    if (listener_.onRejected) {
        listener_.onRejected({ static_cast<unsigned>(status), std::string(text),
            loggableStart(parser_ ? &parser_->get() : nullptr, unparsedBytes()), remoteAddress_ });
    }
    parser_.reset();
    hasPartialRequest_ = false;
    isEnding_ = true;
    pending_.push_back(std::move(incoming));
    flush();
}

void HttpSession::dispatch()
{
    const auto self = shared_from_this();
    std::vector<IncomingRequestPtr> runnable;
    for (const IncomingRequestPtr& incoming : pending_) {
        const bool isFirst = incoming == pending_.front();
        if (!isFirst && !mayRunConcurrently(*incoming))
            break;
        if (!incoming->isDispatched) {
            incoming->isDispatched = true;
            runnable.push_back(incoming);
        }
        if (!mayRunConcurrently(*incoming))
            break;
    }
    for (const IncomingRequestPtr& incoming : runnable) {
        if (!incoming->isDone)
            listener_.handler_(incoming);
    }
}

void HttpSession::flush()
{
    const auto self = shared_from_this();
    bool hasSent = false;
    while (!isClosed_ && !isSendClosed_ && !pending_.empty() && pending_.front()->response) {
        const IncomingRequestPtr incoming = pending_.front();
        pending_.pop_front();
        Response& response = *incoming->response;
        isEnding_ = isEnding_ || listener_.isClosing_;
        const bool isLast = !incoming->request.keep_alive() || !response.keep_alive()
            || (listener_.isClosing_ && !hasDispatchedRequest()) || (isEnding_ && pending_.empty());
        response.version(11);
        response.keep_alive(!isLast);
        enqueue(serializeHead(response));
        if (incoming->request.method() != http::verb::head)
            enqueue(std::move(response.body()), std::move(incoming->responseReservation));
        write();
        hasSent = true;
        if (isLast) {
            isEnding_ = true;
            for (const IncomingRequestPtr& dropped : std::exchange(pending_, {})) {
                dropped->isDone = true;
                if (dropped->onAbandoned)
                    std::exchange(dropped->onAbandoned, nullptr)();
                if (dropped->onFinished)
                    std::exchange(dropped->onFinished, nullptr)();
            }
        }
    }
    if (!hasSent)
        return;
    waitStartedAt_ = steadyNow();
    if (!listener_.isClosing_)
        dispatch();
    if (!isEnding_) {
        parseRequests();
        read();
    }
}

/// True if a pending request was passed on, which happens in their order.
bool HttpSession::hasDispatchedRequest() const
{
    return !pending_.empty() && pending_.front()->isDispatched;
}

void HttpSession::enqueue(std::string bytes, ByteReservation reservation)
{
    if (!bytes.empty())
        writeQueue_.push_back({ std::move(bytes), std::move(reservation) });
}

void HttpSession::write()
{
    if (isWriting_ || isClosed_ || writeQueue_.empty())
        return;
    isWriting_ = true;
    writing_ = std::exchange(writeQueue_, {});
    std::vector<asio::const_buffer> buffers;
    for (const OutgoingBytes& outgoing : writing_)
        buffers.push_back(asio::buffer(outgoing.bytes));
    asio::async_write(socket_, buffers,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->onWritten(error); });
}

void HttpSession::onWritten(beast::error_code error)
{
    isWriting_ = false;
    writing_.clear();
    if (isClosed_)
        return;
    if (error) {
        close();
        return;
    }
    waitStartedAt_ = steadyNow();
    if (!writeQueue_.empty())
        write();
    else if (isEnding_ && pending_.empty())
        finish();
}

void HttpSession::sendContinue()
{
    if (!beast::iequals(parser_->get()[http::field::expect], "100-continue") || !pending_.empty())
        return;
    enqueue("HTTP/1.1 100 Continue\r\n\r\n");
    write();
}

void HttpSession::finish()
{
    if (isSendClosed_ || isClosed_)
        return;
    isSendClosed_ = true;
    isEnding_ = true;
    waitStartedAt_ = steadyNow();
    beast::error_code error;
    socket_.shutdown(Tcp::socket::shutdown_send, error);
    if (error)
        close();
    else
        read();
}

void HttpSession::checkTimeouts(absl::Time now)
{
    const absl::Duration waited = now - waitStartedAt_;
    const ListenerLimits& limits = listener_.limits_;
    if (isSendClosed_) {
        if (waited > kLingerTimeout)
            close();
        return;
    }
    if (isWriting_) {
        if (waited > kWriteTimeout)
            close();
        return;
    }
    if (!pending_.empty())
        return;
    if (hasPartialRequest_ && !parser_->is_header_done() && waited > limits.headerTimeout)
        refuse(http::status::request_timeout, "the head of the request took too long");
    else if (waited > limits.idleTimeout)
        finish();
}

void HttpSession::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    const auto self = shared_from_this();
    beast::error_code error;
    socket_.close(error);
    for (const IncomingRequestPtr& incoming : std::exchange(pending_, {})) {
        const bool wasDone = std::exchange(incoming->isDone, true);
        if (!wasDone && incoming->onAbandoned)
            std::exchange(incoming->onAbandoned, nullptr)();
        if (incoming->onFinished)
            std::exchange(incoming->onFinished, nullptr)();
    }
    listener_.sessions_.erase(self);
}

} // namespace jackdawwall::relay
