#include "adapter/http-server.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>

namespace jackdawwall {

struct HttpServer::Shared {
    SessionFactory sessionFactory;
    std::atomic<int> activeRequests { 0 };
    std::atomic<std::uint64_t> totalRequests { 0 };
    std::atomic<bool> isClosing { false };
};

namespace {

constexpr std::size_t kStreamBlockBytes = 32U << 10;
constexpr std::size_t kThreadStackBytes = 256U << 10;
constexpr unsigned kListenBacklog = 1024;

/// State of one request, passed through the callbacks of libmicrohttpd.
struct RequestState {
    HttpServer::Shared* shared;
    std::unique_ptr<HttpSession> session;
    std::string target;
    bool hasStarted = false;
    bool isCounted = false;
};

struct Stream {
    std::function<std::ptrdiff_t(absl::Span<char>)> read;
};

MHD_Result addHeader(void* cls, MHD_ValueKind /*kind*/, const char* key, const char* value)
{
    auto* headers = static_cast<std::vector<HttpHeader>*>(cls);
    headers->push_back({ key, value == nullptr ? "" : value });
    return MHD_YES;
}

std::int64_t declaredBodyBytes(const std::vector<HttpHeader>& headers)
{
    std::int64_t bytes = 0;
    if (absl::SimpleAtoi(findHeader(headers, "Content-Length"), &bytes))
        return bytes;
    return findHeader(headers, "Transfer-Encoding").empty() ? 0 : -1;
}

int clientSocket(MHD_Connection* connection)
{
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? -1 : info->connect_fd;
}

HttpRequestHead makeHead(
    MHD_Connection* connection, const char* url, const char* method, const std::string& target)
{
    HttpRequestHead head;
    head.method = method;
    head.path = url;
    head.target = target;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &addHeader, &head.headers);
    head.bodyBytes = declaredBodyBytes(head.headers);
    head.socket = clientSocket(connection);
    return head;
}

ssize_t readStream(void* cls, std::uint64_t /*position*/, char* buffer, std::size_t size)
{
    const std::ptrdiff_t bytes = static_cast<Stream*>(cls)->read(absl::MakeSpan(buffer, size));
    if (bytes > 0)
        return bytes;
    return bytes == 0 ? MHD_CONTENT_READER_END_OF_STREAM : MHD_CONTENT_READER_END_WITH_ERROR;
}

void freeStream(void* cls)
{
    delete static_cast<Stream*>(cls);
}

MHD_Response* makeResponse(HttpReply& reply)
{
    if (!reply.stream)
        return MHD_create_response_from_buffer(reply.body.size(), reply.body.data(), MHD_RESPMEM_MUST_COPY);
    const std::uint64_t size
        = reply.streamBytes < 0 ? MHD_SIZE_UNKNOWN : static_cast<std::uint64_t>(reply.streamBytes);
    return MHD_create_response_from_callback(
        size, kStreamBlockBytes, &readStream, new Stream { std::move(reply.stream) }, &freeStream);
}

MHD_Result queueReply(MHD_Connection* connection, const RequestState& state, HttpReply reply)
{
    MHD_Response* response = makeResponse(reply);
    if (response == nullptr)
        return MHD_NO;
    for (const HttpHeader& header : reply.headers)
        MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
    if (state.shared->isClosing)
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(reply.status), response);
    MHD_destroy_response(response);
    return result;
}

HttpReply errorReply(const std::exception& error)
{
    HttpReply reply;
    reply.status = 500;
    reply.body = absl::StrCat(error.what(), "\n");
    return reply;
}

MHD_Result beginRequest(MHD_Connection* connection, RequestState& state, const char* url, const char* method)
{
    state.hasStarted = true;
    state.isCounted = true;
    ++state.shared->activeRequests;
    ++state.shared->totalRequests;
    state.session = state.shared->sessionFactory(makeHead(connection, url, method, state.target));
    std::unique_ptr<HttpReply> rejection = state.session->begin();
    if (rejection)
        return queueReply(connection, state, std::move(*rejection));
    return MHD_YES;
}

MHD_Result continueRequest(
    MHD_Connection* connection, RequestState& state, const char* data, std::size_t* size)
{
    if (*size == 0)
        return queueReply(connection, state, state.session->finish());
    state.session->body(absl::MakeSpan(data, *size));
    *size = 0;
    return MHD_YES;
}

MHD_Result onRequest(void* /*cls*/, MHD_Connection* connection, const char* url, const char* method,
    const char* /*version*/, const char* data, std::size_t* size, void** context)
{
    auto* state = static_cast<RequestState*>(*context);
    try {
        if (!state->hasStarted)
            return beginRequest(connection, *state, url, method);
        return continueRequest(connection, *state, data, size);
    } catch (const std::exception& error) {
        return *size == 0 ? queueReply(connection, *state, errorReply(error)) : MHD_NO;
    }
}

void* onRequestTarget(void* cls, const char* target, MHD_Connection* /*connection*/)
{
    auto state = std::make_unique<RequestState>();
    state->shared = static_cast<HttpServer::Shared*>(cls);
    state->target = target;
    return state.release();
}

void onCompleted(
    void* /*cls*/, MHD_Connection* /*connection*/, void** context, MHD_RequestTerminationCode /*code*/)
{
    const std::unique_ptr<RequestState> state(static_cast<RequestState*>(*context));
    *context = nullptr;
    if (!state)
        return;
    state->session.reset();
    if (state->isCounted)
        --state->shared->activeRequests;
}

absl::StatusOr<sockaddr_in> parseAddress(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in parsed {};
    parsed.sin_family = AF_INET;
    int port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(address.substr(colon + 1), &port)
        || inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1)
        return absl::InvalidArgumentError(
            absl::StrCat("expected an address of the form ip:port, got ", address));
    parsed.sin_port = htons(static_cast<std::uint16_t>(port));
    return parsed;
}

MHD_Daemon* startDaemon(const HttpServerOptions& options, sockaddr_in* address, HttpServer::Shared* shared)
{
    constexpr unsigned kFlags
        = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
    return MHD_start_daemon(kFlags, 0, nullptr, nullptr, &onRequest, shared, MHD_OPTION_SOCK_ADDR, address,
        MHD_OPTION_URI_LOG_CALLBACK, &onRequestTarget, shared, MHD_OPTION_NOTIFY_COMPLETED, &onCompleted,
        shared, MHD_OPTION_CONNECTION_LIMIT, options.connectionLimit, MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(absl::ToInt64Seconds(options.idleTimeout)), MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        options.maxHeadBytes, MHD_OPTION_THREAD_STACK_SIZE, kThreadStackBytes, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        kListenBacklog, MHD_OPTION_END);
}

/// Collects the complete body before calling the handler.
class BufferedSession : public HttpSession {
public:
    BufferedSession(HttpRequestHead head, std::size_t maxBodyBytes,
        const std::function<HttpReply(const HttpRequest&)>& handler)
        : request_ { std::move(head), "" }
        , maxBodyBytes_(maxBodyBytes)
        , handler_(handler)
    {
    }

    std::unique_ptr<HttpReply> begin() override
    {
        if (request_.head.bodyBytes <= static_cast<std::int64_t>(maxBodyBytes_))
            return nullptr;
        return std::make_unique<HttpReply>(payloadTooLarge());
    }

    void body(absl::Span<const char> data) override
    {
        isTooLarge_ = isTooLarge_ || request_.body.size() + data.size() > maxBodyBytes_;
        if (!isTooLarge_)
            request_.body.append(data.data(), data.size());
    }

    HttpReply finish() override { return isTooLarge_ ? payloadTooLarge() : handler_(request_); }

private:
    static HttpReply payloadTooLarge()
    {
        HttpReply reply;
        reply.status = 413;
        reply.body = "the body is too long\n";
        return reply;
    }

    HttpRequest request_;
    std::size_t maxBodyBytes_;
    const std::function<HttpReply(const HttpRequest&)>& handler_;
    bool isTooLarge_ = false;
};

std::string percentDecode(absl::string_view text)
{
    std::string copy(text);
    std::replace(copy.begin(), copy.end(), '+', ' ');
    MHD_http_unescape(copy.data());
    copy.resize(std::char_traits<char>::length(copy.c_str()));
    return copy;
}

} // namespace

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::start(
    const HttpServerOptions& options, SessionFactory sessionFactory)
{
    absl::StatusOr<sockaddr_in> address = parseAddress(options.address);
    if (!address.ok())
        return address.status();
    auto shared = std::make_unique<Shared>();
    shared->sessionFactory = std::move(sessionFactory);
    MHD_Daemon* daemon = startDaemon(options, &*address, shared.get());
    if (daemon == nullptr)
        return absl::UnavailableError(absl::StrCat("failed to listen on ", options.address));
    const auto* info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
    const std::string host = options.address.substr(0, options.address.rfind(':'));
    return std::unique_ptr<HttpServer>(
        new HttpServer(std::move(shared), daemon, absl::StrCat(host, ":", info->port)));
}

HttpServer::HttpServer(std::unique_ptr<Shared> shared, MHD_Daemon* daemon, std::string address)
    : shared_(std::move(shared))
    , daemon_(daemon)
    , address_(std::move(address))
{
}

HttpServer::~HttpServer()
{
    stop();
}

int HttpServer::activeRequests() const
{
    return shared_->activeRequests;
}

std::uint64_t HttpServer::totalRequests() const
{
    return shared_->totalRequests;
}

void HttpServer::closeAfterResponses()
{
    shared_->isClosing = true;
}

void HttpServer::stop()
{
    if (daemon_ == nullptr)
        return;
    MHD_stop_daemon(daemon_);
    daemon_ = nullptr;
}

HttpServer::SessionFactory bufferedSessions(
    std::size_t maxBodyBytes, std::function<HttpReply(const HttpRequest&)> handler)
{
    return [maxBodyBytes, handler = std::move(handler)](HttpRequestHead head) {
        return std::make_unique<BufferedSession>(std::move(head), maxBodyBytes, handler);
    };
}

std::string queryValue(absl::string_view target, absl::string_view name)
{
    const std::size_t question = target.find('?');
    if (question == absl::string_view::npos)
        return "";
    for (const absl::string_view part : absl::StrSplit(target.substr(question + 1), '&')) {
        const std::pair<absl::string_view, absl::string_view> pair
            = absl::StrSplit(part, absl::MaxSplits('=', 1));
        if (pair.first == name)
            return percentDecode(pair.second);
    }
    return "";
}

} // namespace jackdawwall
