/// HTTP messages of the event loop, on Boost.Beast's parser and serialiser, and the loop's clock.
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

/// Time on the steady clock, as decisions take it. Unrelated to the time of day.
absl::Time steadyNow();

/// Bytes of a whole message.
std::string serializeRequest(const Request& request);
/// Bytes of a message up to its body.
std::string serializeHead(const Request& request);
std::string serializeHead(const Response& response);

/// A copy of the head alone, without the headers of one connection, that announces a body of `bodyBytes`.
Request copyHead(const Request& request);

/// An answer of this node's own. `retryAfter` is left out when it is zero.
Response makeTextResponse(http::status status, absl::string_view text, absl::Duration retryAfter = {});

/// An answer with a JSON body.
Response makeJsonResponse(http::status status, std::string json);

/// Removes the headers that concern one connection only.
void removeHopByHopHeaders(http::fields& fields);

/// Value of a header; empty when absent.
absl::string_view headerValue(const http::fields& fields, absl::string_view name);

/// Sets a header under its name as given.
void setHeader(http::fields& fields, absl::string_view name, absl::string_view value);

/// Whole number in a header; `fallback` when it is absent or no number.
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

/// Options of a connection that has to show within seconds that its path is dead.
void setSocketOptions(Tcp::socket& socket);

} // namespace jackdawwall::relay
