// Calls through real node ports in one process: what callers are told, and that it is true.
#include "node/claim-store.h"
#include "test/node-fixture.h"
#include "test/table.h"

#include "absl/strings/str_cat.h"

#include <atomic>
#include <mutex>

namespace jackdawwall {
namespace {

using test::apply;
using test::call;
using test::FakePlatform;
using test::introduce;
using test::TestNode;

/// A target that counts what it ran.
class Target {
public:
    explicit Target(const std::function<HttpReply(const HttpRequest&)>& answer)
    {
        HttpServerOptions options;
        options.address = "127.0.0.1:0";
        server
            = *HttpServer::start(options, wholeRequests(8U << 20, [this, answer](const HttpRequest& request) {
                  ++runs;
                  return answer(request);
              }));
    }

    std::atomic<int> runs { 0 };
    std::unique_ptr<HttpServer> server;
};

HttpReply answerOk(const HttpRequest& request)
{
    HttpReply reply;
    reply.body = absl::StrCat(
        "id=", findHeader(request.head.headers, kRequestIdHeader), " bytes=", request.body.size());
    return reply;
}

HttpReply answerBreaks(const HttpRequest&)
{
    HttpReply reply;
    reply.streamBytes = 100;
    reply.stream = [](absl::Span<char>) -> std::ptrdiff_t { return -1; };
    return reply;
}

HttpReply answerNotRun(const HttpRequest&)
{
    HttpReply reply;
    reply.status = 503;
    reply.headers.push_back({ kOutcomeHeader, "not-run" });
    return reply;
}

HttpReply answerFailed(const HttpRequest&)
{
    HttpReply reply;
    reply.status = 503;
    return reply;
}

const std::vector<std::pair<std::string, std::string>> kEntries {
    { "work/book", R"({"owner":"o","class":"critical","service":"desk","repeat":"never"})" },
    { "work/read", R"({"owner":"o","class":"interactive","service":"desk","attempts":2})" },
    { "caller/default", R"({"owner":"o"})" },
};

std::string onceId(const std::string& unique)
{
    return absl::StrCat("t", absl::ToUnixSeconds(absl::Now()), "-", unique);
}

std::string outcomeOf(const absl::StatusOr<HttpAnswer>& answer)
{
    BOOST_REQUIRE(answer.ok());
    return std::string(findHeader(answer->headers, kOutcomeHeader));
}

std::string reasonOf(const absl::StatusOr<HttpAnswer>& answer)
{
    return std::string(findHeader(answer->headers, kReasonHeader));
}

/// Two nodes of one service before two targets.
struct Pair {
    explicit Pair(const std::function<HttpReply(const HttpRequest&)>& first,
        const std::function<HttpReply(const HttpRequest&)>& second)
        : targets { Target(first), Target(second) }
        , one("desk", targets[0].server->address(), platform)
        , two("desk", targets[1].server->address(), platform)
    {
        introduce({ &one, &two });
        apply(one, kEntries, 1);
        apply(two, kEntries, 1);
    }

    int runs() const { return targets[0].runs + targets[1].runs; }

    FakePlatform platform;
    Target targets[2];
    TestNode one;
    TestNode two;
    ConnectionPool pool;
};

struct OutcomeRow {
    const char* name;
    std::function<HttpReply(const HttpRequest&)> answer;
    const char* kind;
    const char* outcome;
    int leastRuns;
    int mostRuns;
};

BOOST_AUTO_TEST_CASE(saysWhichOfTheOutcomesItIs)
{
    const std::vector<OutcomeRow> table {
        { "read answered", answerOk, "read", "ok", 1, 1 },
        { "booking answered", answerOk, "book", "ok", 1, 1 },
        { "read whose answer breaks is tried again elsewhere", answerBreaks, "read", "unknown", 2, 2 },
        { "booking whose answer breaks is not tried again", answerBreaks, "book", "unknown", 1, 1 },
        { "read that fails is tried again elsewhere", answerFailed, "read", "failed", 2, 2 },
        { "booking that fails is not tried again", answerFailed, "book", "failed", 1, 1 },
        { "both targets say that they did not run it", answerNotRun, "read", "not-run", 2, 2 },
        { "the same for a booking: trying elsewhere does no harm", answerNotRun, "book", "not-run", 2, 2 },
    };
    test::forEachRow(table, [](const OutcomeRow& row) {
        Pair pair(row.answer, row.answer);
        const auto answer = call(pair.one, pair.pool,
            { { kKindHeader, row.kind }, { kRequestIdHeader, onceId("a") }, { kDeadlineHeader, "20000" } });
        BOOST_TEST(outcomeOf(answer) == row.outcome);
        BOOST_TEST(pair.runs() >= row.leastRuns);
        BOOST_TEST(pair.runs() <= row.mostRuns);
    });
}

BOOST_AUTO_TEST_CASE(aBookingRunsAtMostOnceWhateverNodeIsAsked)
{
    Pair pair(answerOk, answerOk);
    const std::string id = onceId("b");
    BOOST_TEST(
        outcomeOf(call(pair.one, pair.pool, { { kKindHeader, "book" }, { kRequestIdHeader, id } })) == "ok");
    const auto again = call(pair.two, pair.pool, { { kKindHeader, "book" }, { kRequestIdHeader, id } });
    BOOST_TEST(outcomeOf(again) == "unknown");
    BOOST_TEST(reasonOf(again) == "duplicate");
    BOOST_TEST(pair.runs() == 1);
}

BOOST_AUTO_TEST_CASE(aBookingThatDidNotRunMayBeSentAgain)
{
    Pair pair(answerNotRun, answerNotRun);
    const std::string id = onceId("c");
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto answer = call(pair.one, pair.pool, { { kKindHeader, "book" }, { kRequestIdHeader, id } });
        BOOST_TEST(outcomeOf(answer) == "not-run");
    }
}

BOOST_AUTO_TEST_CASE(withoutThePlatformABookingIsRefusedAndReadsGoOn)
{
    Pair pair(answerOk, answerOk);
    pair.platform.isDown = true;
    const auto booking
        = call(pair.one, pair.pool, { { kKindHeader, "book" }, { kRequestIdHeader, onceId("d") } });
    BOOST_TEST(outcomeOf(booking) == "not-run");
    BOOST_TEST(reasonOf(booking) == "platform-unavailable");
    BOOST_TEST(pair.runs() == 0);
    BOOST_TEST(outcomeOf(call(pair.one, pair.pool, { { kKindHeader, "read" } })) == "ok");
}

BOOST_AUTO_TEST_CASE(aClaimWhoseAnswerWasLostIsRecognised)
{
    Pair pair(answerOk, answerOk);
    pair.platform.losesAnswers = true;
    const std::string id = onceId("e");
    BOOST_TEST(
        outcomeOf(call(pair.one, pair.pool, { { kKindHeader, "book" }, { kRequestIdHeader, id } })) == "ok");
    BOOST_TEST(outcomeOf(call(pair.two, pair.pool, { { kKindHeader, "book" }, { kRequestIdHeader, id } }))
        == "unknown");
    BOOST_TEST(pair.runs() == 1);
}

struct IdRow {
    const char* name;
    std::string id;
};

BOOST_AUTO_TEST_CASE(unrepeatableWorkNeedsAnIdThatIsStillValid)
{
    const std::int64_t now = absl::ToUnixSeconds(absl::Now());
    const std::vector<IdRow> table { { "no time", "abc" }, { "too old", absl::StrCat("t", now - 4000, "-a") },
        { "clock of the caller runs ahead", absl::StrCat("t", now + 1000, "-a") }, { "no dash", "t12345" } };
    Pair pair(answerOk, answerOk);
    test::forEachRow(table, [&](const IdRow& row) {
        const auto answer
            = call(pair.one, pair.pool, { { kKindHeader, "book" }, { kRequestIdHeader, row.id } });
        BOOST_TEST(outcomeOf(answer) == "not-run");
        BOOST_TEST(reasonOf(answer) == "bad-request");
    });
    BOOST_TEST(pair.runs() == 0);
}

struct HeaderRow {
    const char* name;
    HttpHeader header;
    int status;
};

BOOST_AUTO_TEST_CASE(checksWhatCallersSend)
{
    const std::vector<HeaderRow> table {
        { "deadline is no number", { kDeadlineHeader, "soon" }, 400 },
        { "deadline is negative", { kDeadlineHeader, "-5" }, 400 },
        { "repeat is neither", { kRepeatHeader, "perhaps" }, 400 },
        { "name with a space", { kCallerHeader, "a b" }, 400 },
        { "name too long", { kCallerHeader, std::string(129, 'a') }, 400 },
        { "token of no node", { kParentHeader, "xyz" }, 400 },
        { "parent that has ended", { kParentHeader, "0123456789abcdef" }, 503 },
        { "unknown caller gets the default entry", { kCallerHeader, "stranger" }, 200 },
    };
    Pair pair(answerOk, answerOk);
    test::forEachRow(table, [&](const HeaderRow& row) {
        const auto answer = call(pair.one, pair.pool, { { kKindHeader, "read" }, row.header });
        BOOST_REQUIRE(answer.ok());
        BOOST_TEST(answer->status == row.status);
        BOOST_TEST((row.status == 200 || outcomeOf(answer) == "not-run"));
    });
}

BOOST_AUTO_TEST_CASE(largeBodiesAndAnswersPassThroughWhole)
{
    const std::string large(4U << 20, 'y');
    const auto echo = [](const HttpRequest& request) {
        HttpReply reply;
        reply.body = request.body;
        return reply;
    };
    Pair pair(echo, echo);
    for (const std::size_t bytes :
        { std::size_t(0), std::size_t(1), std::size_t(65536), std::size_t(65537), large.size() }) {
        const auto answer = call(
            pair.one, pair.pool, { { kKindHeader, "read" } }, absl::string_view(large).substr(0, bytes));
        BOOST_REQUIRE(answer.ok());
        BOOST_TEST(answer->body.size() == bytes);
    }
}

BOOST_AUTO_TEST_CASE(aDrainingNodeAnswersNotRunAndTheCallGoesElsewhere)
{
    Pair pair(answerOk, answerOk);
    {
        const absl::MutexLock lock(&pair.one.state.mutex);
        startDraining(pair.one.state.decisions.admission);
    }
    for (int index = 0; index < 10; ++index)
        BOOST_TEST(outcomeOf(call(pair.two, pair.pool, { { kKindHeader, "read" } })) == "ok");
    BOOST_TEST(pair.targets[0].runs == 0);
}

BOOST_AUTO_TEST_CASE(aTargetThatIsGoneCostsNoAnswer)
{
    Pair pair(answerOk, answerOk);
    pair.targets[0].server->stop();
    for (int index = 0; index < 10; ++index)
        BOOST_TEST(outcomeOf(call(pair.one, pair.pool, { { kKindHeader, "read" } })) == "ok");
    BOOST_TEST(pair.targets[1].runs == 10);
}

BOOST_AUTO_TEST_CASE(aChainKeepsOneAllowanceAndItsRequestId)
{
    FakePlatform platform;
    std::mutex mutex;
    std::vector<std::string> seen;
    std::atomic<int> deepRuns { 0 };
    Target deep([&](const HttpRequest& request) {
        ++deepRuns;
        const std::lock_guard lock(mutex);
        seen.emplace_back(findHeader(request.head.headers, kRequestIdHeader));
        return answerFailed(request);
    });
    ConnectionPool targetPool;
    Target front([&](const HttpRequest& request) {
        ExchangeRequest onward;
        const std::string node(findHeader(request.head.headers, kNodeHeader));
        onward.method = "POST";
        onward.url = absl::StrCat("http://", node, "/");
        onward.headers = { { kServiceHeader, "deep" }, { kKindHeader, "read" },
            { kParentHeader, std::string(findHeader(request.head.headers, kParentHeader)) } };
        onward.deadline = absl::Now() + absl::Seconds(20);
        HttpReply reply;
        const auto answer = fetch(targetPool, node, onward, 1000);
        reply.status = answer.ok() && answer->status == 200 ? 200 : 502;
        return reply;
    });
    TestNode frontNode("desk", front.server->address(), platform);
    TestNode deepOne("deep", deep.server->address(), platform);
    TestNode deepTwo("deep", deep.server->address(), platform);
    TestNode deepThree("deep", deep.server->address(), platform);
    introduce({ &frontNode, &deepOne, &deepTwo, &deepThree });
    for (TestNode* node : { &frontNode, &deepOne, &deepTwo, &deepThree })
        apply(*node, kEntries, 1);
    ConnectionPool pool;
    const auto answer = call(frontNode, pool, { { kKindHeader, "read" }, { kRequestIdHeader, "root" } });
    BOOST_TEST(outcomeOf(answer) == "failed");
    // Allowance 2: one stays at the first hop and one goes along. The hop next to the failure retries once;
    // the hop above does not, since the failure lies deeper.
    BOOST_TEST(deepRuns == 2);
    BOOST_TEST(front.runs == 1);
    for (const std::string& id : seen)
        BOOST_TEST(id == "root/1");
}

BOOST_AUTO_TEST_CASE(anOldOrInvalidCatalogueNeverTakesHold)
{
    Pair pair(answerOk, answerOk);
    NodeState& node = pair.one.state;
    BOOST_TEST(!node.offerCatalogue({ "catalogue", "{\"entries\":{}}", 1 }));
    BOOST_TEST(!node.offerCatalogue({ "catalogue", "{\"entries\":", 2 }));
    BOOST_TEST(
        !node.offerCatalogue({ "catalogue", R"({"entries":{"work/x":{"value":{"class":"odd"}}}})", 3 }));
    BOOST_TEST(node.catalogue()->version == 1U);
    BOOST_TEST(node.offerCatalogue({ "catalogue", "{\"entries\":{}}", 4 }));
    BOOST_TEST(!node.offerCatalogue({ "catalogue", "{\"entries\":{}}", 3 }));
    BOOST_TEST(node.catalogue()->version == 4U);
}

BOOST_AUTO_TEST_CASE(expiredClaimsAreRemovedAndValidOnesStay)
{
    FakePlatform platform;
    const Platform port = platform.port();
    const absl::Time now = absl::FromUnixSeconds(1'800'000'000);
    const std::string id = absl::StrCat("t", absl::ToUnixSeconds(now), "-a");
    BOOST_TEST((claimRequest(port, id, "one", now).end == ClaimEnd::Claimed));
    BOOST_TEST(removeExpiredClaims(port, now + kRequestIdValidity) == 0);
    BOOST_TEST((claimRequest(port, id, "two", now + kRequestIdValidity).end == ClaimEnd::Duplicate));
    BOOST_TEST(removeExpiredClaims(port, now + absl::Hours(5)) == 1);
    BOOST_TEST((claimRequest(port, id, "three", now + absl::Hours(5)).end == ClaimEnd::BadId));
}

} // namespace
} // namespace jackdawwall
