#include "adapter/exchange.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <stdexcept>

namespace jackdawwall {
namespace {

constexpr long kConnectTimeoutMs = 500;
constexpr unsigned kUnacknowledgedTimeoutMs = 500;
constexpr long kContinueTimeoutMs = 60000;
constexpr absl::Duration kMaxPollTime = absl::Milliseconds(200);

template <typename Value> void setOption(CURL* easy, CURLoption option, Value value)
{
    const CURLcode code = curl_easy_setopt(easy, option, value);
    if (code != CURLE_OK)
        throw std::runtime_error(
            absl::StrCat("curl option ", static_cast<int>(option), ": ", curl_easy_strerror(code)));
}

curl_slist* makeHeaders(const ExchangeRequest& request)
{
    curl_slist* list = nullptr;
    for (const HttpHeader& header : request.headers) {
        // curl removes a header with an empty value unless its name is followed by ';'.
        const std::string line = header.value.empty() ? absl::StrCat(header.name, ";")
                                                      : absl::StrCat(header.name, ": ", header.value);
        list = curl_slist_append(list, line.c_str());
    }
    list = curl_slist_append(list, request.waitsForContinue ? "Expect: 100-continue" : "Expect:");
    return curl_slist_append(list, "User-Agent:");
}

} // namespace

absl::StatusOr<std::unique_ptr<Exchange>> Exchange::create()
{
    static const CURLcode kInitResult = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (kInitResult != CURLE_OK)
        return absl::InternalError("libcurl initialization failed");
    CURLM* multi = curl_multi_init();
    CURL* easy = curl_easy_init();
    if (multi == nullptr || easy == nullptr) {
        curl_multi_cleanup(multi);
        curl_easy_cleanup(easy);
        return absl::ResourceExhaustedError("out of memory while creating an HTTP exchange");
    }
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 1L);
    return std::unique_ptr<Exchange>(new Exchange(multi, easy));
}

Exchange::Exchange(CURLM* multi, CURL* easy)
    : multi_(multi)
    , easy_(easy)
{
}

Exchange::~Exchange()
{
    if (isAdded_)
        curl_multi_remove_handle(multi_, easy_);
    curl_slist_free_all(requestHeaders_);
    curl_easy_cleanup(easy_);
    curl_multi_cleanup(multi_);
}

std::size_t Exchange::onWrite(char* data, std::size_t size, std::size_t count, void* self)
{
    auto* exchange = static_cast<Exchange*>(self);
    const std::size_t bytes = size * count;
    if (!exchange->received_.empty() && exchange->received_.size() + bytes > kResponseBufferBytes) {
        exchange->isWritePaused_ = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    exchange->received_.append(data, bytes);
    return bytes;
}

std::size_t Exchange::onRead(char* buffer, std::size_t size, std::size_t count, void* self)
{
    auto* exchange = static_cast<Exchange*>(self);
    exchange->isBodyRequested_ = true;
    if (exchange->unsentBody_.empty()) {
        if (exchange->isBodyEnded_)
            return 0;
        exchange->isReadPaused_ = true;
        return CURL_READFUNC_PAUSE;
    }
    const std::size_t bytes = std::min(size * count, exchange->unsentBody_.size());
    std::memcpy(buffer, exchange->unsentBody_.data(), bytes);
    exchange->unsentBody_.remove_prefix(bytes);
    return bytes;
}

void Exchange::addHeaderLine(absl::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == absl::string_view::npos)
        return;
    const absl::string_view value = absl::StripAsciiWhitespace(line.substr(colon + 1));
    headers_.push_back({ std::string(line.substr(0, colon)), std::string(value) });
}

std::size_t Exchange::onHeader(char* data, std::size_t size, std::size_t count, void* self)
{
    auto* exchange = static_cast<Exchange*>(self);
    const absl::string_view line(data, size * count);
    if (line.substr(0, 5) == "HTTP/") {
        exchange->headers_.clear();
        return line.size();
    }
    if (line != "\r\n" && line != "\n") {
        exchange->addHeaderLine(line);
        return line.size();
    }
    long status = 0;
    curl_easy_getinfo(exchange->easy_, CURLINFO_RESPONSE_CODE, &status);
    if (status >= 200) {
        exchange->status_ = static_cast<int>(status);
        exchange->hasHeaders_ = true;
        const absl::string_view length = findHeader(exchange->headers_, "Content-Length");
        if (!absl::SimpleAtoi(length, &exchange->contentLength_))
            exchange->contentLength_ = -1;
    }
    return line.size();
}

int Exchange::onBeforeSend(
    void* self, char* /*remote*/, char* /*local*/, int /*remotePort*/, int /*localPort*/)
{
    auto* exchange = static_cast<Exchange*>(self);
    // libcurl resends a request on its own when a reused connection closes without a response. The target may
    // have processed the first copy, so whether to retry is left to the caller.
    if (exchange->hasSendStarted_)
        return CURL_PREREQFUNC_ABORT;
    exchange->hasSendStarted_ = true;
    return CURL_PREREQFUNC_OK;
}

int Exchange::onSocket(void* /*self*/, curl_socket_t socket, curlsocktype /*purpose*/)
{
    const unsigned timeout = kUnacknowledgedTimeoutMs;
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    return CURL_SOCKOPT_OK;
}

void Exchange::setBodyOptions(const ExchangeRequest& request)
{
    if (request.isStreamed) {
        setOption(easy_, CURLOPT_UPLOAD, 1L);
        setOption(easy_, CURLOPT_READFUNCTION, &Exchange::onRead);
        setOption(easy_, CURLOPT_READDATA, this);
        setOption(easy_, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(request.streamBytes));
        setOption(easy_, CURLOPT_EXPECT_100_TIMEOUT_MS, kContinueTimeoutMs);
    } else if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        setOption(easy_, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        setOption(easy_, CURLOPT_POSTFIELDS, request.body.data() == nullptr ? "" : request.body.data());
    } else if (request.method == "HEAD") {
        setOption(easy_, CURLOPT_NOBODY, 1L);
    }
    setOption(easy_, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void Exchange::setOptions(const ExchangeRequest& request)
{
    curl_easy_reset(easy_);
    curl_slist_free_all(requestHeaders_);
    requestHeaders_ = makeHeaders(request);
    setOption(easy_, CURLOPT_URL, request.url.c_str());
    setOption(easy_, CURLOPT_PATH_AS_IS, 1L);
    setOption(easy_, CURLOPT_HTTPHEADER, requestHeaders_);
    setOption(easy_, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    setOption(easy_, CURLOPT_PROTOCOLS_STR, "http");
    setOption(easy_, CURLOPT_PROXY, "");
    setOption(easy_, CURLOPT_NOSIGNAL, 1L);
    setOption(easy_, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
    setOption(easy_, CURLOPT_FRESH_CONNECT, request.needsFreshConnection ? 1L : 0L);
    setOption(easy_, CURLOPT_WRITEFUNCTION, &Exchange::onWrite);
    setOption(easy_, CURLOPT_WRITEDATA, this);
    setOption(easy_, CURLOPT_HEADERFUNCTION, &Exchange::onHeader);
    setOption(easy_, CURLOPT_HEADERDATA, this);
    setOption(easy_, CURLOPT_PREREQFUNCTION, &Exchange::onBeforeSend);
    setOption(easy_, CURLOPT_PREREQDATA, this);
    setOption(easy_, CURLOPT_SOCKOPTFUNCTION, &Exchange::onSocket);
    setBodyOptions(request);
}

void Exchange::start(const ExchangeRequest& request)
{
    if (isAdded_)
        throw std::logic_error("start() called while a request is in progress");
    setOptions(request);
    hasHeaders_ = false;
    hasSendStarted_ = false;
    isBroken_ = false;
    isBodyRequested_ = false;
    isReadPaused_ = false;
    isWritePaused_ = false;
    isBodyEnded_ = false;
    isHeadRequest_ = request.method == "HEAD";
    state_ = ExchangeState::Running;
    status_ = 0;
    contentLength_ = -1;
    headers_.clear();
    received_.clear();
    unsentBody_ = {};
    deadline_ = request.deadline;
    watchedSocket_ = request.watchedSocket;
    curl_multi_add_handle(multi_, easy_);
    isAdded_ = true;
    perform();
}

bool Exchange::isResponseDelimited() const
{
    if (isHeadRequest_ || status_ == 204 || status_ == 304 || contentLength_ >= 0)
        return true;
    return absl::EndsWithIgnoreCase(findHeader(headers_, "Transfer-Encoding"), "chunked");
}

ExchangeState Exchange::classify(CURLcode code) const
{
    if (code == CURLE_OK)
        return isResponseDelimited() ? ExchangeState::Complete : ExchangeState::Truncated;
    if (!hasSendStarted_)
        return ExchangeState::NotSent;
    return hasHeaders_ ? ExchangeState::Truncated : ExchangeState::Lost;
}

void Exchange::finish(CURLcode code)
{
    isBroken_ = code != CURLE_OK;
    state_ = classify(code);
    curl_multi_remove_handle(multi_, easy_);
    isAdded_ = false;
    lastUsed_ = absl::Now();
}

void Exchange::collectResult()
{
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
        if (message->msg == CURLMSG_DONE) {
            finish(message->data.result);
            return;
        }
    }
}

void Exchange::perform()
{
    if (!isAdded_)
        return;
    int running = 0;
    curl_multi_perform(multi_, &running);
    collectResult();
}

void Exchange::cancel(ExchangeState state)
{
    if (!isAdded_)
        return;
    curl_multi_remove_handle(multi_, easy_);
    isAdded_ = false;
    isBroken_ = true;
    const bool isTimeout = state == ExchangeState::TimedOut;
    state_ = isTimeout && !hasSendStarted_ ? ExchangeState::NotSent : state;
}

bool Exchange::isWatchedSocketClosed()
{
    char byte = 0;
    const ssize_t received = recv(watchedSocket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0)
        watchedSocket_ = -1; // The caller has pipelined its next request, so it is still connected.
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void Exchange::wait(absl::Time until)
{
    const absl::Time now = absl::Now();
    if (now >= deadline_) {
        cancel(ExchangeState::TimedOut);
        return;
    }
    const absl::Duration remaining = std::min({ deadline_ - now, until - now, kMaxPollTime });
    const auto timeoutMs
        = static_cast<int>(absl::ToInt64Milliseconds(absl::Ceil(remaining, absl::Milliseconds(1))));
    curl_waitfd watched { watchedSocket_, CURL_WAIT_POLLIN, 0 };
    curl_multi_poll(multi_, &watched, watchedSocket_ >= 0 ? 1 : 0, std::max(0, timeoutMs), nullptr);
    if (watched.revents != 0 && isWatchedSocketClosed())
        cancel(ExchangeState::Cancelled);
}

template <typename Condition> void Exchange::runUntil(Condition condition)
{
    while (isAdded_ && !condition()) {
        wait(absl::InfiniteFuture());
        perform();
    }
}

bool Exchange::awaitContinue()
{
    runUntil([this] { return isBodyRequested_ || hasHeaders_; });
    return isAdded_ && isBodyRequested_ && !hasHeaders_;
}

bool Exchange::sendBody(absl::Span<const char> data)
{
    unsentBody_ = data;
    if (isAdded_ && isReadPaused_) {
        isReadPaused_ = false;
        curl_easy_pause(easy_, CURLPAUSE_CONT);
    }
    perform();
    runUntil([this] { return unsentBody_.empty() || hasHeaders_; });
    const bool isSent = unsentBody_.empty();
    unsentBody_ = {};
    return isSent && isAdded_;
}

void Exchange::endBody()
{
    isBodyEnded_ = true;
    if (isAdded_ && isReadPaused_) {
        isReadPaused_ = false;
        curl_easy_pause(easy_, CURLPAUSE_CONT);
    }
    perform();
}

bool Exchange::awaitHeaders()
{
    runUntil([this] { return hasHeaders_; });
    // One more pass often completes a small response, as the rest of it has already arrived.
    perform();
    return hasHeaders_ && (isAdded_ || state_ == ExchangeState::Complete || !received_.empty());
}

bool Exchange::awaitComplete()
{
    runUntil([this] { return isWritePaused_; });
    return state_ == ExchangeState::Complete;
}

void Exchange::awaitEither(Exchange* other, absl::Time until)
{
    const auto isSettled
        = [](const Exchange* exchange) { return exchange->hasHeaders_ || !exchange->isAdded_; };
    while (!isSettled(this) && absl::Now() < until) {
        if (other != nullptr && isSettled(other))
            return;
        const bool isPollingBoth = other != nullptr;
        wait(isPollingBoth ? std::min(until, absl::Now() + absl::Milliseconds(1)) : until);
        perform();
        if (other != nullptr)
            other->perform();
    }
}

std::size_t Exchange::read(absl::Span<char> buffer)
{
    if (received_.empty() && isWritePaused_ && isAdded_) {
        isWritePaused_ = false;
        curl_easy_pause(easy_, CURLPAUSE_CONT);
    }
    runUntil([this] { return !received_.empty(); });
    const std::size_t bytes = std::min(buffer.size(), received_.size());
    std::memcpy(buffer.data(), received_.data(), bytes);
    received_.erase(0, bytes);
    return bytes;
}

} // namespace jackdawwall
