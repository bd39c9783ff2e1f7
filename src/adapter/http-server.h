/// HTTP through libmicrohttpd, one thread for each connection: a call blocks its own thread only, and no
/// hand-off between threads lies on the path of a call.
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

/// Head of a request.
struct HttpRequestHead {
    std::string method;
    std::string path; ///< Without the query.
    std::string target; ///< Path and query as sent.
    std::vector<HttpHeader> headers;
    std::int64_t bodyBytes = 0; ///< Declared size; -1 when chunked.
    int socket = -1; ///< The caller's, to notice that it went away.
};

/// An answer with a whole body, or with one that is read part by part.
struct HttpReply {
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
    /// Reads the next part; 0 is the end, -1 breaks the connection so that nobody takes it for whole.
    std::function<std::ptrdiff_t(absl::Span<char>)> stream;
    std::int64_t streamBytes = -1; ///< Size of a streamed body, -1 when unknown.
};

/// One request being received and answered; all calls come from the connection's own thread.
class HttpSession {
public:
    virtual ~HttpSession() = default;
    /// Called once before the body; a reply here refuses the body.
    virtual std::unique_ptr<HttpReply> begin() = 0;
    virtual void body(absl::Span<const char> data) = 0;
    virtual HttpReply finish() = 0;
};

struct HttpServerOptions {
    std::string address; ///< "ip:port"; port 0 lets the kernel choose.
    unsigned connectionLimit = 2000;
    absl::Duration idleTimeout = absl::Seconds(10); ///< Of a stalled sender.
    std::size_t maxHeadBytes = 32U << 10; ///< Largest head of a request.
};

class HttpServer {
public:
    using SessionFactory = std::function<std::unique_ptr<HttpSession>(HttpRequestHead)>;

    /// Listens and serves until stop.
    static absl::StatusOr<std::unique_ptr<HttpServer>> start(
        const HttpServerOptions& options, SessionFactory sessionFactory);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// "ip:port" with the port in use.
    const std::string& address() const { return address_; }
    /// Requests being received or answered.
    int activeRequests() const;
    /// Requests begun since the start.
    std::uint64_t totalRequests() const;
    /// Answers carry "Connection: close" from now on.
    void closeAfterResponses();
    /// Ends the server and joins its threads.
    void stop();

    /// State shared with the callbacks of the library.
    struct Shared;

private:
    HttpServer(std::unique_ptr<Shared> shared, MHD_Daemon* daemon, std::string address);

    std::unique_ptr<Shared> shared_;
    MHD_Daemon* daemon_;
    std::string address_;
};

/// Whole request for a handler that needs no streaming.
struct HttpRequest {
    HttpRequestHead head;
    std::string body;
};

/// Opens sessions that collect a body of at most `longestBody` bytes and call `handler`; a longer body is
/// answered with 413.
HttpServer::SessionFactory bufferedSessions(
    std::size_t maxBodyBytes, std::function<HttpReply(const HttpRequest&)> handler);

/// Value of "name=" in the query of a request target, decoded; empty when absent.
std::string queryValue(absl::string_view target, absl::string_view name);

} // namespace jackdawwall
