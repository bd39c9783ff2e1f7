/// One HTTP request and its response over libcurl, streamed by the calling thread with bounded memory.
/// Distinguishes a request that was never sent from one that the receiver may have processed.
#pragma once

#include "adapter/http-types.h"

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

#include <curl/curl.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace jackdawwall {

/// State of an exchange.
enum class ExchangeState : std::uint8_t {
    Running,
    Complete, ///< The complete response was received.
    NotSent, ///< No byte of the request was sent, so the receiver can't have processed it.
    Lost, ///< The connection failed after sending had started, before the response headers arrived.
    Truncated, ///< The response was cut short, or its framing doesn't show whether it is complete.
    TimedOut, ///< The deadline passed after sending had started.
    Cancelled, ///< The watched caller disconnected.
};

struct ExchangeRequest {
    std::string method = "GET";
    std::string url;
    std::vector<HttpHeader> headers;
    absl::string_view body; ///< Sent without sendBody; must outlive the exchange.
    bool isStreamed = false; ///< The body is supplied through sendBody.
    std::int64_t streamBytes = -1; ///< Declared size of a streamed body; -1 for chunked encoding.
    bool waitsForContinue = false; ///< Sends "Expect: 100-continue" before the body.
    absl::Time deadline = absl::InfiniteFuture();
    bool needsFreshConnection = false;
    int watchedSocket = -1; ///< Socket of the caller; the exchange is cancelled when it closes. -1 for none.
};

/// Handles one request at a time. Reuse it for the same destination to keep the connection open.
class Exchange {
public:
    static absl::StatusOr<std::unique_ptr<Exchange>> create();
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    /// Starts a request. Throws std::logic_error while another one is in progress.
    void start(const ExchangeRequest& request);

    /// Waits for "100 Continue"; returns false when the receiver sent a final response or the exchange
    /// failed.
    bool awaitContinue();

    /// Sends a part of a streamed body; returns false when the exchange ended or a response arrived early.
    bool sendBody(absl::Span<const char> data);
    void endBody();

    /// Waits for the response headers. The exchange is often already complete on return when the body is
    /// small. Returns false when there is no usable response; `state` then gives the reason.
    bool awaitHeaders();

    /// Waits, once the headers have arrived, until the response is complete or its buffer is full. Returns
    /// true when it is complete.
    bool awaitComplete();

    /// Waits until this exchange or `other` has received its headers or has ended, or until `until`.
    void awaitEither(Exchange* other, absl::Time until);

    /// Reads the next part of the response body; returns 0 at its end or on failure, see `state`.
    std::size_t read(absl::Span<char> buffer);

    /// Aborts a request in progress and closes its connection. `state` becomes the state of the exchange,
    /// except that a timeout before sending has started is NotSent.
    void cancel(ExchangeState state);

    bool hasHeaders() const { return hasHeaders_; }
    ExchangeState state() const { return state_; }
    int status() const { return status_; }
    const std::vector<HttpHeader>& headers() const { return headers_; }
    /// Declared size of the response body; -1 when unknown.
    std::int64_t contentLength() const { return contentLength_; }
    /// Response bytes that were received but not yet read.
    std::string& buffered() { return received_; }
    bool hasSendStarted() const { return hasSendStarted_; }
    /// True when the connection can be used for another request.
    bool isReusable() const { return state_ == ExchangeState::Complete && !isBroken_; }
    absl::Time lastUsed() const { return lastUsed_; }

private:
    Exchange(CURLM* multi, CURL* easy);

    template <typename Condition> void runUntil(Condition condition);
    void perform();
    void wait(absl::Time until);
    void collectResult();
    void finish(CURLcode code);
    ExchangeState classify(CURLcode code) const;
    bool isWatchedSocketClosed();
    bool isResponseDelimited() const;
    void setOptions(const ExchangeRequest& request);
    void setBodyOptions(const ExchangeRequest& request);

    static std::size_t onWrite(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t onRead(char* buffer, std::size_t size, std::size_t count, void* self);
    static std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* self);
    static int onBeforeSend(void* self, char* remote, char* local, int remotePort, int localPort);
    static int onSocket(void* self, curl_socket_t socket, curlsocktype purpose);
    void addHeaderLine(absl::string_view line);

    CURLM* multi_;
    CURL* easy_;
    curl_slist* requestHeaders_ = nullptr;
    bool isAdded_ = false;
    bool isBroken_ = false;
    bool hasHeaders_ = false;
    bool hasSendStarted_ = false;
    bool isBodyRequested_ = false;
    bool isReadPaused_ = false;
    bool isWritePaused_ = false;
    bool isBodyEnded_ = false;
    bool isHeadRequest_ = false;
    ExchangeState state_ = ExchangeState::Complete;
    int status_ = 0;
    std::int64_t contentLength_ = -1;
    std::vector<HttpHeader> headers_;
    std::string received_;
    absl::Span<const char> unsentBody_;
    absl::Time deadline_;
    absl::Time lastUsed_ = absl::InfinitePast();
    int watchedSocket_ = -1;
};

/// Maximum bytes of a response body buffered at once; bounds the memory used by an exchange.
inline constexpr std::size_t kResponseBufferBytes = 64U << 10;

} // namespace jackdawwall
