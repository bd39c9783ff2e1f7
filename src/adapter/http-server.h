/// An HTTP server based on libmicrohttpd with one thread per connection. A slow call blocks only its own
/// thread, and a call is never passed between threads.
#pragma once

#include "adapter/http-types.h"

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct MHD_Daemon;

namespace jackdawwall {

/// Request line and headers of a request.
struct HttpRequestHead {
    std::string method;
    std::string path; ///< Path without the query.
    std::string target; ///< Path and query as sent.
    std::vector<HttpHeader> headers;
    std::int64_t bodyBytes = 0; ///< Declared size; -1 when chunked.
    int socket = -1; ///< Socket of the caller, used to detect a disconnect; -1 when unknown.
};

/// Response of a server, with its body in memory or streamed.
struct HttpReply {
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
    /// If set, called for each part of the body; returns 0 at the end. -1 aborts the connection, so that the
    /// client doesn't take the response for complete.
    std::function<std::ptrdiff_t(absl::Span<char>)> stream;
    std::int64_t streamBytes = -1; ///< Size of a streamed body; -1 when unknown.
};

/// Handles one request. All functions are called on the thread of the connection.
class HttpSession {
public:
    virtual ~HttpSession() = default;
    /// Called once before the body; a non-null reply rejects the request without reading its body.
    virtual std::unique_ptr<HttpReply> begin() = 0;
    virtual void body(absl::Span<const char> data) = 0;
    virtual HttpReply finish() = 0;
};

struct HttpServerOptions {
    std::string address; ///< "ip:port"; port 0 lets the kernel choose.
    unsigned connectionLimit = 2000;
    absl::Duration idleTimeout = absl::Seconds(10); ///< Time after which a stalled connection is closed.
    std::size_t maxHeadBytes = 32U << 10; ///< Maximum size of the request line and headers.
};

class HttpServer {
public:
    using SessionFactory = std::function<std::unique_ptr<HttpSession>(HttpRequestHead)>;

    /// Starts to listen and serves requests until stop().
    static absl::StatusOr<std::unique_ptr<HttpServer>> start(
        const HttpServerOptions& options, SessionFactory sessionFactory);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listening address as "ip:port", with the actual port.
    const std::string& address() const { return address_; }
    /// Number of requests in progress.
    int activeRequests() const;
    /// Number of requests received since the start.
    std::uint64_t totalRequests() const;
    /// Adds "Connection: close" to all further responses.
    void closeAfterResponses();
    /// Stops the server and joins its threads.
    void stop();

    /// State shared with the callbacks of libmicrohttpd.
    struct Shared;

private:
    HttpServer(std::unique_ptr<Shared> shared, MHD_Daemon* daemon, std::string address);

    std::unique_ptr<Shared> shared_;
    MHD_Daemon* daemon_;
    std::string address_;
};

/// A complete request, for handlers that need no streaming.
struct HttpRequest {
    HttpRequestHead head;
    std::string body;
};

/// Creates sessions that buffer a body of at most `maxBodyBytes` bytes and then call `handler`. A larger body
/// is rejected with status 413.
HttpServer::SessionFactory bufferedSessions(
    std::size_t maxBodyBytes, std::function<HttpReply(const HttpRequest&)> handler);

/// Percent-decoded value of the query parameter `name` in a request target; empty when absent.
std::string queryValue(absl::string_view target, absl::string_view name);

} // namespace jackdawwall
