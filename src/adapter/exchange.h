/// One HTTP request and its answer through libcurl, streamed with bounded memory by the calling thread. Tells
/// apart a request that was never handed over from one that may have run.
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

/// How an exchange stands.
enum class ExchangeState : std::uint8_t {
    Running,
    Complete, ///< The whole answer is here or was read.
    NotSent, ///< Proof: no byte of the request was handed over.
    Lost, ///< The connection failed after the hand-over.
    Truncated, ///< The answer broke off, or can't be proved whole.
    TimedOut, ///< The deadline passed after the hand-over.
    Cancelled, ///< The watched caller went away.
};

struct ExchangeRequest {
    std::string method = "GET";
    std::string url;
    std::vector<HttpHeader> headers;
    absl::string_view body; ///< Sent at once; must outlive the exchange.
    bool isStreamed = false; ///< The body follows by sendBody.
    std::int64_t streamBytes = -1; ///< Declared size of a streamed body; -1 is chunked.
    bool waitsForContinue = false; ///< Asks the receiver before the body is sent.
    absl::Time deadline = absl::InfiniteFuture();
    bool needsFreshConnection = false;
    int watchedSocket = -1; ///< The caller's; its end of stream cancels the exchange.
};

/// Reused for one destination so that its connection is kept.
class Exchange {
public:
    static absl::StatusOr<std::unique_ptr<Exchange>> create();
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    /// Begins a request. Throws std::logic_error while another one runs.
    void start(const ExchangeRequest& request);

    /// Waits until a receiver asked to continue; false when it answered or failed instead.
    bool awaitContinue();

    /// Hands over a part of a streamed body; false when the exchange ended or was answered early.
    bool sendBody(absl::Span<const char> data);
    void endBody();

    /// Waits for the answer's head. An answer that fits the buffer is complete when this returns.
    /// Returns false when there is no answer; then `end` says why.
    bool awaitHeaders();

    /// After the head: waits until the answer is whole or its buffer is full. True when it is whole.
    bool awaitComplete();

    /// Waits until this exchange or `other` has a head or ended, or until `until`.
    void awaitEither(Exchange* other, absl::Time until);

    /// Next part of the answer's body; 0 at its end or failure, see `end`.
    std::size_t read(absl::Span<char> buffer);

    /// Breaks off what runs and closes the connection.
    void cancel(ExchangeState state);

    bool hasHeaders() const { return hasHeaders_; }
    ExchangeState state() const { return state_; }
    int status() const { return status_; }
    const std::vector<HttpHeader>& headers() const { return headers_; }
    /// Declared size of the answer; -1 when unknown.
    std::int64_t contentLength() const { return contentLength_; }
    /// The part of the answer received and not read yet.
    std::string& buffered() { return received_; }
    bool hasSendStarted() const { return hasSendStarted_; }
    /// True when the connection may serve another request.
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

/// Gives back an exchange's memory use bound: bytes of an answer held at once.
inline constexpr std::size_t kResponseBufferBytes = 64U << 10;

} // namespace jackdawwall
