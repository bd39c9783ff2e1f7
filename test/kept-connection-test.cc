// Targets that misbehave on kept connections or break off. Guards against refusals that belong to an earlier
// request and make a caller repeat work that ran, and against a response that was cut off and looks complete.
#include "relay-fixture.h"

#include <boost/test/data/test_case.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr char kRoutes[]
    = "5;read a.example /read/ books safe 3000 1;book a.example /book/ books unsafe 3000 1";

std::string notRunResponse(const std::string& idLine)
{
    return absl::StrCat("HTTP/1.1 503 Busy\r\nJackdaw-Not-Run: 1\r\n", idLine, "Content-Length: 0\r\n\r\n");
}

struct LateCopy {
    const char* name;
    std::string bytes; ///< Written before the response to the second request.
    unsigned status; ///< Of the response to the caller of the second request.
};

std::ostream& operator<<(std::ostream& out, const LateCopy& copy)
{
    return out << copy.name;
}

const std::string kFirstId = "Jackdaw-Request-Id: first\r\n";

// Without an id it is unknown to which request a response belongs, so the request may have run: 502.
const LateCopy kLateCopies[] = {
    { "refusal of the first request", notRunResponse(kFirstId), 200 },
    { "refusal without an id", notRunResponse(""), 502 },
    { "misdirected, without an id", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", 502 },
    { "response of the first request",
        absl::StrCat("HTTP/1.1 200 X\r\nJackdaw-Seal: s\r\n", kFirstId, "Content-Length: 5\r\n\r\nfirst"),
        200 },
    { "response without an id", "HTTP/1.1 200 X\r\nJackdaw-Seal: s\r\nContent-Length: 5\r\n\r\nfirst", 502 },
};

struct Responses {
    Response second; ///< To the caller of the second request.
    int runs = 0; ///< Of the second request.
};

/// Sends a request that the target answers with `first`, then a booking. If the booking arrives on the same
/// connection, the target writes `copy` before its own response.
Responses callAfter(const Request& firstRequest, const std::string& first, const std::string& copy,
    const std::string& secondId)
{
    Responses result;
    int arrivals = 0;
    int firstConnection = 0;
    ScriptedTarget* target = nullptr;
    OneNode one(kRoutes, [&](const Request& request) {
        if (++arrivals == 1) {
            firstConnection = target->latestConnection;
            return TargetResponse { first };
        }
        ++result.runs;
        const std::string own = sealedResponse(request, "second");
        return TargetResponse { target->latestConnection == firstConnection ? copy + own : own };
    });
    target = &one.target;
    one.node.sendAndWait(one.node.settings.callerAddress, firstRequest);
    result.second = one.call(http::verb::post, "/book/2", secondId).response;
    return result;
}

std::string sealedHead(const std::string& framing)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nJackdaw-Seal: s\r\nJackdaw-Request-Id: r\r\n", framing, "\r\n");
}

struct CutResponse {
    const char* name;
    std::string head;
    std::string body;
};

std::ostream& operator<<(std::ostream& out, const CutResponse& cut)
{
    return out << cut.name;
}

const CutResponse kCutResponses[] = {
    { "with a length", sealedHead("Content-Length: 10\r\n"), "0123456789" },
    { "in chunks", sealedHead("Transfer-Encoding: chunked\r\n"), "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n" },
    { "up to the end of the connection", sealedHead(""), "" },
    { "after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + sealedHead("Content-Length: 2\r\n"),
        "hi" },
};

} // namespace

BOOST_DATA_TEST_CASE(aLateCopyIsNoAnswerToTheNextRequest, boost::unit_test::data::make(kLateCopies), copy)
{
    const Request first = callerRequest(http::verb::get, "/read/1", "first");
    const Responses result = callAfter(first, sealedResponse(first, "first"), copy.bytes, "second");
    BOOST_TEST(result.second.result_int() == copy.status);
    BOOST_TEST(result.second.body() != "first");
    BOOST_TEST(result.runs == 1);
}

// A caller that is told "not run" may send the same id again; the target's copy of that refusal names it,
// too.
BOOST_DATA_TEST_CASE(aCopyOfARefusalIsNoAnswerToTheSameIdSentAgain,
    boost::unit_test::data::make({ kFirstId, std::string() }), idLine)
{
    const Request first = callerRequest(http::verb::post, "/book/1", "first");
    const Responses result = callAfter(first, notRunResponse(idLine), notRunResponse(idLine), "first");
    BOOST_TEST(result.second.result_int() == 200U);
    BOOST_TEST(result.runs == 1);
}

BOOST_DATA_TEST_CASE(aResponseThatIsCutOffIsNoSuccess, boost::unit_test::data::make(kCutResponses), cut)
{
    const std::string complete = cut.head + cut.body;
    std::size_t length = 0;
    OneNode one(kRoutes, [&](const Request&) { return TargetResponse { complete.substr(0, length), true }; });
    // A connection that ends right after the head of a response without framing is its regular end.
    const std::size_t end = cut.body.empty() ? cut.head.size() : complete.size();
    for (length = 0; length < end; ++length) {
        const unsigned status = one.call(http::verb::post, "/book/1", "r").response.result_int();
        BOOST_TEST(status == 502U, "cut after " << length << " bytes: " << status);
    }
}
