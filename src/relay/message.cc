#include "relay/message.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <new>
#include <stdexcept>
#include <vector>

namespace jackdawwall::relay {
namespace {

/// Idle time of a connection before TCP keep-alive probes start.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
/// The connection fails when sent bytes stay unacknowledged for this long.
constexpr int kUserTimeoutMilliseconds = 2000;
/// Longest value of a header that a message can hold.
constexpr std::size_t kMaxFieldBytes = 65'533;

template <bool isRequest> std::string writeHead(http::serializer<isRequest, http::string_body>& serializer)
{
    std::string bytes;
    beast::error_code error;
    serializer.split(true);
    while (!serializer.is_header_done() && !error) {
        serializer.next(error, [&](beast::error_code&, const auto& buffers) {
            for (const auto buffer : beast::buffers_range_ref(buffers))
                bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
            serializer.consume(beast::buffer_bytes(buffers));
        });
    }
    return bytes;
}

/// Parses the head in a step of its own. If a parser goes on to the body at once, it ignores that the
/// declared length is over its limit, and reserves memory for it.
template <bool isRequest>
std::size_t parseInSteps(
    http::parser<isRequest, http::string_body>& parser, asio::const_buffer bytes, beast::error_code& error)
{
    std::size_t used = 0;
    if (!parser.is_header_done()) {
        parser.eager(false);
        used = parser.put(bytes, error);
        if (error || !parser.is_header_done())
            return used;
        parser.eager(true);
    }
    if (!parser.is_done() && used < bytes.size())
        used += parser.put(bytes + used, error);
    return used;
}

void setOption(int socket, int level, int option, int value)
{
    // Fails only on a closed socket, which the next read or write reports.
    static_cast<void>(::setsockopt(socket, level, option, &value, sizeof value));
}

} // namespace

absl::Time steadyNow()
{
    return absl::UnixEpoch() + absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

template <bool isRequest>
std::size_t parseBytes(
    http::parser<isRequest, http::string_body>& parser, asio::const_buffer bytes, beast::error_code& error)
{
    // An exception would end the process, not only the connection.
    try {
        return parseInSteps(parser, bytes, error);
    } catch (const std::length_error&) {
        error = http::error::header_limit;
    } catch (const std::bad_alloc&) {
        error = http::error::buffer_overflow;
    }
    return 0;
}

template std::size_t parseBytes(RequestParser&, asio::const_buffer, beast::error_code&);
template std::size_t parseBytes(ResponseParser&, asio::const_buffer, beast::error_code&);

std::string serializeRequest(const Request& request)
{
    return serializeHead(request) + request.body();
}

std::string serializeHead(const Request& request)
{
    http::request_serializer<http::string_body> serializer { request };
    return writeHead(serializer);
}

std::string serializeHead(const Response& response)
{
    http::response_serializer<http::string_body> serializer { response };
    return writeHead(serializer);
}

void useOriginForm(Request& request)
{
    const std::string target(request.target());
    for (const absl::string_view scheme : { "http://", "https://" }) {
        if (!absl::StartsWithIgnoreCase(target, scheme))
            continue;
        const std::size_t authorityEnd = std::min(target.find_first_of("/?", scheme.size()), target.size());
        const std::string authority = target.substr(scheme.size(), authorityEnd - scheme.size());
        if (authority.empty() || authority.size() > kMaxFieldBytes)
            return; // It matches no route.
        request.set(http::field::host, authority);
        const std::string path = target.substr(authorityEnd);
        request.target(absl::StartsWith(path, "/") ? path : "/" + path);
        return;
    }
}

Request copyHead(const Request& request)
{
    Request head;
    head.base() = request.base();
    removeHopByHopHeaders(head);
    head.version(11);
    const http::verb method = head.method();
    const bool hasLength = !request.body().empty() || method == http::verb::put || method == http::verb::post
        || method == http::verb::options;
    if (hasLength)
        head.set(http::field::content_length, std::to_string(request.body().size()));
    else
        head.erase(http::field::content_length);
    return head;
}

Response makeTextResponse(http::status status, absl::string_view text, absl::Duration retryAfter)
{
    Response response { status, 11 };
    response.set(http::field::content_type, "text/plain");
    if (retryAfter > absl::ZeroDuration())
        response.set(http::field::retry_after, absl::StrCat(absl::ToDoubleSeconds(retryAfter)));
    response.body() = std::string(text);
    response.prepare_payload();
    return response;
}

Response makeJsonResponse(http::status status, std::string json)
{
    Response response { status, 11 };
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(json);
    response.prepare_payload();
    return response;
}

void removeHopByHopHeaders(http::fields& fields)
{
    const std::string connectionHeader(fromBeast(fields[http::field::connection]));
    for (const absl::string_view name : absl::StrSplit(connectionHeader, ',')) {
        const absl::string_view trimmed = absl::StripAsciiWhitespace(name);
        if (!trimmed.empty())
            fields.erase(toBeast(trimmed));
    }
    for (const http::field field : { http::field::connection, http::field::keep_alive, http::field::te,
             http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect,
             http::field::proxy_connection })
        fields.erase(field);
}

absl::string_view headerValue(const http::fields& fields, absl::string_view name)
{
    return fromBeast(fields[toBeast(name)]);
}

void setHeader(http::fields& fields, absl::string_view name, absl::string_view value)
{
    fields.set(toBeast(name), toBeast(value));
}

std::int64_t integerHeader(const http::fields& fields, absl::string_view name, std::int64_t fallback)
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(headerValue(fields, name), &number) ? number : fallback;
}

Tcp::endpoint parseEndpoint(const std::string& address)
{
    const std::vector<std::string> parts = absl::StrSplit(address, ':');
    int port = 0;
    beast::error_code error;
    const asio::ip::address ip = asio::ip::make_address(parts.front(), error);
    if (parts.size() != 2 || error || !absl::SimpleAtoi(parts.back(), &port) || port < 0 || port > 65535)
        throw std::invalid_argument("address is not of the form ip:port: " + address);
    return { ip, static_cast<unsigned short>(port) };
}

void setSocketOptions(Tcp::socket& socket)
{
    const int socketHandle = socket.native_handle();
    setOption(socketHandle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socketHandle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socketHandle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    setOption(socketHandle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    setOption(socketHandle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

void limitUnacknowledgedTime(Tcp::socket& socket)
{
    setOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMilliseconds);
}

} // namespace jackdawwall::relay
