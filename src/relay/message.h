/// HTTP messages based on Boost.Beast, and the clock of the event loop.
#pragma once

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <string>

namespace jackdawwall::relay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using RequestParser = http::request_parser<http::string_body>;
using ResponseParser = http::response_parser<http::string_body>;

/// Time of the steady clock as an absl::Time, for the decision functions. Unrelated to the time of day.
absl::Time steadyNow();

/// Passes bytes to a parser and returns how many it has used. Fails with http::error::header_limit if a field
/// or a trailer is longer than a parsed message can hold, and with buffer_overflow if there is no memory for
/// the message; the parser must not be used after that.
template <bool isRequest>
std::size_t parseBytes(
    http::parser<isRequest, http::string_body>& parser, asio::const_buffer bytes, beast::error_code& error);

/// Serializes a complete message.
std::string serializeRequest(const Request& request);
/// Serializes a message without its body.
std::string serializeHead(const Request& request);
std::string serializeHead(const Response& response);

/// Replaces a target in absolute form ("http://host/path") by its path and query, and Host by its authority
/// (RFC 9112, 3.2.2). Leaves other forms unchanged.
void useOriginForm(Request& request);

/// Copies the head without hop-by-hop headers and sets Content-Length to the size of the request's body.
Request copyHead(const Request& request);

/// A plain-text response made by this node. The Retry-After header is omitted when `retryAfter` is zero.
Response makeTextResponse(http::status status, absl::string_view text, absl::Duration retryAfter = {});

/// A response with a JSON body, made by this node.
Response makeJsonResponse(http::status status, std::string json);

/// Removes the headers that apply to a single connection only.
void removeHopByHopHeaders(http::fields& fields);

/// Value of a header; empty when absent.
absl::string_view headerValue(const http::fields& fields, absl::string_view name);

/// Sets a header; the name is sent as given.
void setHeader(http::fields& fields, absl::string_view name, absl::string_view value);

/// Integer value of a header; `fallback` when it is absent or not an integer.
std::int64_t integerHeader(const http::fields& fields, absl::string_view name, std::int64_t fallback);

inline beast::string_view toBeast(absl::string_view text)
{
    return { text.data(), text.size() };
}
inline absl::string_view fromBeast(beast::string_view text)
{
    return { text.data(), text.size() };
}

/// Endpoint of "ip:port"; throws std::invalid_argument for anything else.
Tcp::endpoint parseEndpoint(const std::string& address);

/// Sets TCP options so that a dead path of an idle connection is detected within seconds.
void setSocketOptions(Tcp::socket& socket);
/// Fails the connection when sent bytes stay unacknowledged for 2 s. For peers that always read: Linux also
/// counts the time during which the peer's window is closed.
void limitUnacknowledgedTime(Tcp::socket& socket);

} // namespace jackdawwall::relay
