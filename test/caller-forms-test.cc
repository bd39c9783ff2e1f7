// Proper requests in the many forms that HTTP/1.1 (RFC 9112) allows: each has to reach its route's target.
// Guards against requests that the node itself answers with 400, 404, 413 or 431 although they are correct.
#include "relay-fixture.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

#include <boost/test/data/test_case.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr char kRoutes[]
    = "5;read a.example /read/ books safe 3000 1;book a.example /book/ books unsafe 3000 1";

struct RequestForm {
    const char* name;
    std::string bytes;
    std::string target = "/read/1"; ///< Path and query that the target has to receive.
};

std::ostream& operator<<(std::ostream& out, const RequestForm& form)
{
    return out << form.name;
}

const RequestForm kForms[] = {
    { "origin form", "GET /read/1 HTTP/1.1\r\nHost: a.example\r\n\r\n" },
    { "absolute form", "GET http://a.example/read/1 HTTP/1.1\r\nHost: a.example\r\n\r\n" },
    { "absolute form with a port",
        "GET http://a.example:8080/read/1 HTTP/1.1\r\nHost: a.example:8080\r\n\r\n" },
    { "absolute form, upper case", "GET HTTP://A.Example/read/1?Q=1 HTTP/1.1\r\nHost: a.example\r\n\r\n",
        "/read/1?Q=1" },
    { "absolute form that overrides Host",
        "GET http://a.example/read/1 HTTP/1.1\r\nHost: b.example\r\n\r\n" },
    { "an empty line before the request", "\r\nGET /read/1 HTTP/1.1\r\nHost: a.example\r\n\r\n" },
    { "empty lines before the request", "\r\n\r\nGET /read/1 HTTP/1.1\r\nHost: a.example\r\n\r\n" },
    { "Host in upper case with a port", "GET /read/1 HTTP/1.1\r\nHOST: A.EXAMPLE:80\r\n\r\n" },
    { "no space after the colon", "GET /read/1 HTTP/1.1\r\nhost:a.example\r\n\r\n" },
    { "spaces and tabs around values", "GET /read/1 HTTP/1.1\r\nHost: \t a.example \t\r\n\r\n" },
    { "empty and obs-text values",
        "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-A:\r\nX-B: caf\xc3\xa9\r\nX-C: \xff\r\n\r\n" },
    { "query with unusual characters", "GET /read/1?a=%20&b=[1]|\"{}^`\\ HTTP/1.1\r\nHost: a.example\r\n\r\n",
        "/read/1?a=%20&b=[1]|\"{}^`\\" },
    { "double slashes and dots", "GET /read//../.%2e/1 HTTP/1.1\r\nHost: a.example\r\n\r\n",
        "/read//../.%2e/1" },
    { "HTTP/1.0", "GET /read/1 HTTP/1.0\r\nHost: a.example\r\n\r\n" },
    { "HTTP/1.0 that keeps the connection",
        "GET /read/1 HTTP/1.0\r\nHost: a.example\r\nConnection: keep-alive\r\n\r\n" },
    { "Connection: close", "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n" },
    { "POST without a body", "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n" },
    { "DELETE with a body", "DELETE /read/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nhi" },
    { "method of another specification", "PROPFIND /read/1 HTTP/1.1\r\nHost: a.example\r\n\r\n" },
    { "unregistered method", "FROB /read/1 HTTP/1.1\r\nHost: a.example\r\n\r\n" },
    { "chunked body",
        "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: "
        "chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" },
    { "chunk extensions and trailers",
        "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: Chunked\r\n\r\n"
        "2;a=b;c=\"d e\"\r\nhi\r\n00\r\nX-T: 1\r\n\r\n" },
    { "chunk size with leading zeros",
        "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0000000A\r\n0123456789\r\n0\r\n\r\n" },
    { "Expect: 100-continue",
        "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\nExpect: 100-Continue\r\n\r\nhi" },
};

/// Sends bytes on a new connection and returns everything up to the end of the final response.
std::string exchange(
    asio::io_context& loop, const std::string& address, const std::vector<std::string>& pieces)
{
    Tcp::socket socket(loop);
    socket.connect(parseEndpoint(address));
    std::string received;
    std::array<char, 4096> buffer {};
    bool isEnded = false;
    std::function<void()> read = [&] {
        socket.async_read_some(asio::buffer(buffer), [&](beast::error_code error, std::size_t bytes) {
            received.append(buffer.data(), bytes);
            isEnded = static_cast<bool>(error);
            if (!error)
                read();
        });
    };
    read();
    for (const std::string& piece : pieces)
        asio::write(socket, asio::buffer(piece));
    runUntil(loop, [&] {
        return isEnded || received.find("body of ") != std::string::npos || received.find(" 4") == 8;
    });
    beast::error_code ignored;
    socket.close(ignored);
    runUntil(loop, [&] { return isEnded; });
    return received;
}

std::optional<TargetResponse> respondOk(const Request& request)
{
    return TargetResponse { sealedResponse(request, "body of " + std::string(request.target())), false,
        false };
}

std::string withId(std::string bytes)
{
    const std::size_t headEnd = bytes.find("\r\n\r\n", 4);
    return bytes.insert(headEnd, "\r\nJackdaw-Request-Id: r1\r\nJackdaw-Time-Left-Ms: 5000");
}

} // namespace

BOOST_DATA_TEST_CASE(servesProperFormsOfRequests, boost::unit_test::data::make(kForms), form)
{
    OneNode one(kRoutes, respondOk);
    const std::string response = exchange(one.loop, one.node.settings.callerAddress, { withId(form.bytes) });
    BOOST_TEST(response.find("body of ") != std::string::npos, response);
    BOOST_REQUIRE_EQUAL(one.target.requests.size(), 1U);
    BOOST_TEST(std::string(one.target.requests[0].target()) == form.target);
    BOOST_TEST(absl::StartsWith(
        absl::AsciiStrToLower(fromBeast(one.target.requests[0][http::field::host])), "a.example"));
}

BOOST_DATA_TEST_CASE(servesProperFormsThatArriveInPieces, boost::unit_test::data::make(kForms), form)
{
    OneNode one(kRoutes, respondOk);
    std::vector<std::string> bytes;
    for (const char byte : withId(form.bytes))
        bytes.emplace_back(1, byte);
    const std::string response = exchange(one.loop, one.node.settings.callerAddress, bytes);
    BOOST_TEST(response.find("body of ") != std::string::npos, response);
}
