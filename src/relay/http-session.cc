#include "relay/http-session.h"

#include "relay/request-start.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <iterator>
#include <limits>

namespace jackdawwall::relay {
namespace {

constexpr absl::string_view kLineEnd = "\r\n";
/// Reads of a connection before others get their turn.
constexpr int kReadsAtOnce = 4;
/// Limit on the unparsed bytes of a connection, unless its limit on heads is larger.
constexpr std::size_t kMaxBufferedBytes = 64U << 10;
/// Bytes of a response that are handed to the kernel at once.
constexpr std::size_t kWriteSize = 64U << 10;
/// Limit on the pending requests of a connection.
constexpr std::size_t kMaxPipelinedRequests = 16;
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
    if (listener_.limits_.failsUnacknowledged)
        limitUnacknowledgedTime(socket_);
    beast::error_code ignoredError; // A caller that has already disconnected has no address.
    socket_.non_blocking(true, ignoredError);
    remoteAddress_ = socket_.remote_endpoint(ignoredError).address();
    if (listener_.budget_ != nullptr) {
        reservation_ = ByteReservation(*listener_.budget_);
        reservation_.setTo(heldBytes());
    }
}

void HttpSession::start()
{
    awaitInput();
}

bool HttpSession::isIdleFor(absl::Duration time) const
{
    return pending_.empty() && !isWriting_ && !hasPartialRequest_ && steadyNow() - waitStartedAt_ >= time;
}

std::size_t HttpSession::maxBufferedBytes() const
{
    // A head and its request line have a limit each.
    return std::max<std::size_t>(kMaxBufferedBytes, 2 * std::size_t { listener_.limits_.headerBytes });
}

/// Waits until the socket can be read. No buffer is held meanwhile.
void HttpSession::awaitInput()
{
    if (isReading_ || isClosed_ || buffer_.size() >= maxBufferedBytes())
        return;
    isReading_ = true;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
        self->isReading_ = false;
        self->onReadable(error);
    });
}

void HttpSession::onReadable(beast::error_code error)
{
    if (isClosed_)
        return;
    if (error) {
        close();
        return;
    }
    for (int count = 0; count < kReadsAtOnce && readOnce(); ++count) { }
    awaitInput();
}

bool HttpSession::readOnce()
{
    if (isClosed_ || buffer_.size() >= maxBufferedBytes())
        return false;
    std::vector<char>& readBuffer = listener_.readBuffer_;
    beast::error_code error;
    const std::size_t bytes = socket_.read_some(asio::buffer(readBuffer), error);
    if (error == asio::error::would_block)
        return false;
    if (error) {
        close();
        return false;
    }
    if (!isEnding_) {
        buffer_.commit(asio::buffer_copy(buffer_.prepare(bytes), asio::buffer(readBuffer, bytes)));
        continueParsing();
    }
    return bytes == readBuffer.size();
}

void HttpSession::continueParsing()
{
    parseRequests();
    if (!isClosed_ && !isEnding_ && !reserveHeld())
        refuse(http::status::service_unavailable, "not run; too much is held for others");
    releaseBuffer();
}

void HttpSession::releaseBuffer()
{
    if (buffer_.size() == 0 && !hasPartialRequest_ && buffer_.capacity() > 0)
        buffer_.shrink_to_fit();
}

void HttpSession::parseRequests()
{
    // Requests whose responses are not read count as well: their number is what bounds the responses.
    while (!isEnding_ && !isClosed_ && pending_.size() + (unwrittenParts() + 1) / 2 < kMaxPipelinedRequests
        && parseRequest()) { }
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
    if (!hasPartialRequest_) {
        skipEmptyLines();
        // Nothing, or the first byte of one more empty line.
        if (buffer_.size() == 0 || unparsedBytes() == kLineEnd.substr(0, 1))
            return false;
        hasPartialRequest_ = true;
        waitStartedAt_ = steadyNow();
        headScanner_.reset();
    }
    if (!parser_ && !parseHead())
        return false;
    return parseBody();
}

/// Starts to parse once the head is complete. Returns false before that, or after a refusal.
bool HttpSession::parseHead()
{
    const ListenerLimits& limits = listener_.limits_;
    const absl::string_view bytes = unparsedBytes();
    const bool isToken = absl::ascii_isgraph(static_cast<unsigned char>(bytes[0]));
    const HeadScanner::Result result = isToken ? headScanner_.scan(bytes) : HeadScanner::Result::Malformed;
    const bool isComplete = result == HeadScanner::Result::Complete;
    if (headScanner_.fieldBytes(isComplete ? headScanner_.headBytes() : bytes.size()) > limits.headerBytes
        && result != HeadScanner::Result::Malformed) {
        refuse(http::status::request_header_fields_too_large, "the head is too long");
        return false;
    }
    if (result == HeadScanner::Result::Incomplete)
        return false;
    if (isComplete) {
        partialHeadBytes_ = headScanner_.headBytes() + headScanner_.lines() * kFieldBytes;
        if (!reserveHeld()) {
            refuse(http::status::service_unavailable, "not run; too much is held for others");
            return false;
        }
    }
    parser_.emplace();
    parser_->header_limit(std::numeric_limits<std::uint32_t>::max()); // Checked above.
    parser_->body_limit(limits.bodyBytes);
    return true;
}

bool HttpSession::parseBody()
{
    const bool wasHeaderDone = parser_->is_header_done();
    if (wasHeaderDone && buffer_.size() == 0)
        return false;
    if (wasHeaderDone && !reserveParsedBody()) {
        refuse(http::status::service_unavailable, "not run; too much is held for others");
        return false;
    }
    beast::error_code error;
    buffer_.consume(parseBytes(*parser_, buffer_.data(), error));
    if ((error && error != http::error::need_more) || !parser_->is_header_done()) {
        refuse(statusFor(error), error.message());
        return false;
    }
    const std::uint64_t declaredSize = parser_->content_length().value_or(0);
    const std::string& body = parser_->get().body();
    if (!reserveBody(std::max<std::size_t>(declaredSize, body.empty() ? 0 : body.capacity()))) {
        refuse(http::status::service_unavailable, "not run; too much is held for others");
        return false;
    }
    if (!wasHeaderDone && !parser_->is_done())
        sendContinue();
    if (!parser_->is_done()) {
        // The parser can't use what it has, and no more is read: for example a chunk's line without end.
        if (buffer_.size() >= maxBufferedBytes())
            refuse(http::status::bad_request, "a line of the body is too long");
        return false;
    }
    acceptRequest();
    return true;
}

/// Makes room for the next part of a chunked body. The body's memory at most doubles at a time, and does not
/// exceed the limit on bodies.
bool HttpSession::reserveParsedBody()
{
    if (!parser_->chunked())
        return true;
    std::string& body = parser_->get().body();
    const std::size_t size = body.size() + buffer_.size();
    if (size <= body.capacity())
        return true;
    const std::size_t capacity = std::max<std::size_t>(
        size, std::min<std::uint64_t>(2 * body.capacity(), listener_.limits_.bodyBytes));
    if (!reserveBody(capacity))
        return false;
    body.reserve(capacity);
    return true;
}

void HttpSession::acceptRequest()
{
    auto incoming = std::make_shared<IncomingRequest>();
    const bool mayHaveTrailers = parser_->chunked();
    incoming->request = parser_->release();
    useOriginForm(incoming->request);
    incoming->receivedAt = steadyNow();
    incoming->remoteAddress = remoteAddress_;
    incoming->session = weak_from_this();
    incoming->bodyReservation = std::exchange(bodyReservation_, {});
    incoming->headBytes = std::exchange(partialHeadBytes_, 0);
    if (mayHaveTrailers) {
        const auto& fields = incoming->request.base();
        incoming->headBytes
            += kFieldBytes * static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
    }
    hasBodyReservation_ = false;
    hasReceivedRequest_ = true;
    parser_.reset();
    hasPartialRequest_ = false;
    pending_.push_back(std::move(incoming));
    dispatch();
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
    partialHeadBytes_ = 0;
    bodyReservation_ = {};
    hasBodyReservation_ = false;
    hasPartialRequest_ = false;
    isEnding_ = true;
    buffer_.consume(buffer_.size());
    releaseBuffer();
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
    reservation_.setTo(heldBytes());
    if (!listener_.isClosing_)
        dispatch();
    if (!isEnding_) {
        continueParsing();
        awaitInput();
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
    const auto notePart = [self = shared_from_this()](beast::error_code error, std::size_t written) {
        if (written > 0)
            self->waitStartedAt_ = steadyNow();
        return error ? 0 : kWriteSize;
    };
    asio::async_write(socket_, buffers, notePart,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->onWritten(error); });
}

void HttpSession::onWritten(beast::error_code error)
{
    isWriting_ = false;
    unacknowledgedBytes_ = 0;
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
    reservation_.setTo(heldBytes());
    if (isEnding_ || isClosed_ || buffer_.size() == 0)
        return;
    continueParsing();
    awaitInput();
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
        awaitInput();
}

void HttpSession::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    const auto self = shared_from_this();
    beast::error_code error;
    socket_.close(error);
    release();
    abandonRequests();
    listener_.sessions_.erase(self);
}

void HttpSession::abandonRequests()
{
    for (const IncomingRequestPtr& incoming : std::exchange(pending_, {})) {
        const bool wasDone = std::exchange(incoming->isDone, true);
        if (!wasDone && incoming->onAbandoned)
            std::exchange(incoming->onAbandoned, nullptr)();
        if (incoming->onFinished)
            std::exchange(incoming->onFinished, nullptr)();
    }
}

} // namespace jackdawwall::relay
