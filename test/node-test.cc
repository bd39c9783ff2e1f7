// Calls through real node ports in one process: what callers are told, and that it is true.
#include "node-fixture.h"
#include "node/claim-store.h"
#include "table.h"

#include "absl/strings/str_cat.h"

namespace jackdawwall {
namespace {

using relay::ExchangeEnd;
using relay::ExchangeResult;
using test::Caller;
using test::FakeObjects;
using test::introduce;
using test::runUntil;
using test::ScriptedTarget;
using test::TargetReply;
using test::TestNode;

std::optional<TargetReply> reply(int status, const std::string& headers, const std::string& body)
{
    return TargetReply { absl::StrCat("HTTP/1.1 ", status, " X\r\n", headers, "Content-Length: ", body.size(),
                             "\r\n\r\n", body),
        false, false };
}

std::optional<TargetReply> answerOk(const relay::Request& request)
{
    return reply(200, "",
        absl::StrCat("id=", relay::headerOf(request, kRequestIdHeader), " bytes=", request.body().size()));
}

std::optional<TargetReply> answerBreaks(const relay::Request&)
{
    return TargetReply { "HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n", true, false };
}

std::optional<TargetReply> answerUnframed(const relay::Request&)
{
    return TargetReply { "HTTP/1.1 200 X\r\n\r\nas far as it went", true, false };
}

std::optional<TargetReply> answerNotRun(const relay::Request&)
{
    return reply(503, "Jackdaw-Outcome: not-run\r\n", "");
}

std::optional<TargetReply> answerFailed(const relay::Request&)
{
    return reply(503, "", "");
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

std::string outcomeOf(const ExchangeResult& answer)
{
    BOOST_TEST((answer.end == ExchangeEnd::Complete));
    return std::string(relay::headerOf(answer.response, kOutcomeHeader));
}

std::string reasonOf(const ExchangeResult& answer)
{
    return std::string(relay::headerOf(answer.response, kReasonHeader));
}

/// Two nodes of one service before two targets.
struct Pair {
    explicit Pair(const ScriptedTarget::Script& script, absl::Duration leaveDelay = absl::Seconds(3))
        : first(loop, script)
        , second(loop, script)
        , one(objects, "desk", first.address(), leaveDelay)
        , two(objects, "desk", second.address(), leaveDelay)
    {
        introduce(loop, { &one, &two });
        BOOST_REQUIRE(one.apply(kEntries, 1));
        BOOST_REQUIRE(two.apply(kEntries, 1));
    }

    std::size_t runs() const { return first.requests.size() + second.requests.size(); }
    ExchangeResult call(const TestNode& node, const test::CallHeaders& headers, const std::string& body = "")
    {
        return caller.call(node.address, headers, body);
    }

    relay::asio::io_context loop;
    FakeObjects objects { loop };
    ScriptedTarget first;
    ScriptedTarget second;
    TestNode one;
    TestNode two;
    Caller caller { loop };
};

struct OutcomeRow {
    const char* name;
    ScriptedTarget::Script answer;
    const char* kind;
    const char* outcome;
    std::size_t leastRuns;
    std::size_t mostRuns;
};

BOOST_AUTO_TEST_CASE(saysWhichOfTheOutcomesItIs)
{
    const std::vector<OutcomeRow> table {
        { "read answered", answerOk, "read", "ok", 1, 1 },
        { "booking answered", answerOk, "book", "ok", 1, 1 },
        { "read whose answer breaks is tried again elsewhere", answerBreaks, "read", "unknown", 2, 2 },
        { "booking whose answer breaks is not tried again", answerBreaks, "book", "unknown", 1, 1 },
        { "an answer that nobody can prove whole", answerUnframed, "book", "unknown", 1, 1 },
        { "read that fails is tried again elsewhere", answerFailed, "read", "failed", 2, 2 },
        { "booking that fails is not tried again", answerFailed, "book", "failed", 1, 1 },
        { "both targets say that they did not run it", answerNotRun, "read", "not-run", 2, 2 },
        { "the same for a booking: trying elsewhere does no harm", answerNotRun, "book", "not-run", 2, 2 },
    };
    test::forEachRow(table, [](const OutcomeRow& row) {
        Pair pair(row.answer);
        const auto answer = pair.call(pair.one,
            { { kKindHeader, row.kind }, { kRequestIdHeader, onceId("a") }, { kDeadlineHeader, "20000" } });
        BOOST_TEST(outcomeOf(answer) == row.outcome);
        BOOST_TEST(pair.runs() >= row.leastRuns);
        BOOST_TEST(pair.runs() <= row.mostRuns);
    });
}

BOOST_AUTO_TEST_CASE(aBookingRunsAtMostOnceWhateverNodeIsAsked)
{
    Pair pair(answerOk);
    const std::string id = onceId("b");
    BOOST_TEST(outcomeOf(pair.call(pair.one, { { kKindHeader, "book" }, { kRequestIdHeader, id } })) == "ok");
    const auto again = pair.call(pair.two, { { kKindHeader, "book" }, { kRequestIdHeader, id } });
    BOOST_TEST(outcomeOf(again) == "unknown");
    BOOST_TEST(reasonOf(again) == "duplicate");
    BOOST_TEST(pair.runs() == 1U);
}

BOOST_AUTO_TEST_CASE(aBookingThatDidNotRunMayBeSentAgain)
{
    Pair pair(answerNotRun);
    const std::string id = onceId("c");
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto answer = pair.call(pair.one, { { kKindHeader, "book" }, { kRequestIdHeader, id } });
        BOOST_TEST(outcomeOf(answer) == "not-run");
    }
}

BOOST_AUTO_TEST_CASE(withoutThePlatformABookingIsRefusedAndReadsGoOn)
{
    Pair pair(answerOk);
    pair.objects.isDown = true;
    const auto booking = pair.call(pair.one, { { kKindHeader, "book" }, { kRequestIdHeader, onceId("d") } });
    BOOST_TEST(outcomeOf(booking) == "not-run");
    BOOST_TEST(reasonOf(booking) == "platform-unavailable");
    BOOST_TEST(pair.runs() == 0U);
    BOOST_TEST(outcomeOf(pair.call(pair.one, { { kKindHeader, "read" } })) == "ok");
}

BOOST_AUTO_TEST_CASE(aClaimWhoseAnswerWasLostIsRecognised)
{
    Pair pair(answerOk);
    pair.objects.losesAnswers = true;
    const std::string id = onceId("e");
    BOOST_TEST(outcomeOf(pair.call(pair.one, { { kKindHeader, "book" }, { kRequestIdHeader, id } })) == "ok");
    BOOST_TEST(
        outcomeOf(pair.call(pair.two, { { kKindHeader, "book" }, { kRequestIdHeader, id } })) == "unknown");
    BOOST_TEST(pair.runs() == 1U);
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
    Pair pair(answerOk);
    test::forEachRow(table, [&](const IdRow& row) {
        const auto answer = pair.call(pair.one, { { kKindHeader, "book" }, { kRequestIdHeader, row.id } });
        BOOST_TEST(outcomeOf(answer) == "not-run");
        BOOST_TEST(reasonOf(answer) == "bad-request");
    });
    BOOST_TEST(pair.runs() == 0U);
}

struct HeaderRow {
    const char* name;
    std::pair<std::string, std::string> header;
    unsigned status;
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
    Pair pair(answerOk);
    test::forEachRow(table, [&](const HeaderRow& row) {
        const auto answer = pair.call(pair.one, { { kKindHeader, "read" }, row.header });
        BOOST_REQUIRE((answer.end == ExchangeEnd::Complete));
        BOOST_TEST(answer.response.result_int() == row.status);
        BOOST_TEST((row.status == 200 || outcomeOf(answer) == "not-run"));
    });
}

BOOST_AUTO_TEST_CASE(largeBodiesAndAnswersPassThroughWhole)
{
    const std::string large(4U << 20, 'y');
    Pair pair([](const relay::Request& request) { return reply(200, "", request.body()); });
    for (const std::size_t bytes :
        { std::size_t(0), std::size_t(1), std::size_t(65536), std::size_t(65537), large.size() }) {
        const auto answer = pair.call(pair.one, { { kKindHeader, "read" } }, large.substr(0, bytes));
        BOOST_REQUIRE((answer.end == ExchangeEnd::Complete));
        BOOST_TEST(answer.response.body().size() == bytes);
    }
}

BOOST_AUTO_TEST_CASE(aHeadOfTwentyKilobytesIsTakenAndOneOfFortyRefused)
{
    Pair pair(answerOk);
    const auto statusFor = [&](std::size_t bytes) {
        return pair.call(pair.one, { { kKindHeader, "read" }, { "X-Large", std::string(bytes, 'x') } })
            .response.result_int();
    };
    BOOST_TEST(statusFor(20'000) == 200U);
    BOOST_TEST(statusFor(40'000) == 431U);
}

BOOST_AUTO_TEST_CASE(aStoppingNodeAnswersNotRunAndTheCallGoesElsewhere)
{
    Pair pair(answerOk, absl::ZeroDuration());
    pair.one.node.stop();
    for (int index = 0; index < 10; ++index)
        BOOST_TEST(outcomeOf(pair.call(pair.two, { { kKindHeader, "read" } })) == "ok");
    BOOST_TEST(pair.first.requests.empty());
}

BOOST_AUTO_TEST_CASE(aTargetThatIsGoneCostsNoAnswer)
{
    Pair pair(answerOk);
    pair.first.stop();
    for (int index = 0; index < 10; ++index)
        BOOST_TEST(outcomeOf(pair.call(pair.one, { { kKindHeader, "read" } })) == "ok");
    BOOST_TEST(pair.second.requests.size() == 10U);
}

BOOST_AUTO_TEST_CASE(aChainKeepsOneAllowanceAndItsRequestId)
{
    relay::asio::io_context loop;
    FakeObjects objects(loop);
    Caller onward(loop);
    ScriptedTarget deep(loop, answerFailed);
    ScriptedTarget front(loop, ScriptedTarget::LateScript([&](const relay::Request& request, auto done) {
        const std::string node(relay::headerOf(request, kNodeHeader));
        const std::string parent(relay::headerOf(request, kParentHeader));
        onward.send(node, { { kServiceHeader, "deep" }, { kKindHeader, "read" }, { kParentHeader, parent } },
            "", [done](const ExchangeResult& answer) {
                done(*reply(answer.response.result_int() == 200 ? 200 : 502, "", ""));
            });
    }));
    TestNode frontNode(objects, "desk", front.address());
    TestNode deepOne(objects, "deep", deep.address());
    TestNode deepTwo(objects, "deep", deep.address());
    TestNode deepThree(objects, "deep", deep.address());
    introduce(loop, { &frontNode, &deepOne, &deepTwo, &deepThree });
    for (TestNode* node : { &frontNode, &deepOne, &deepTwo, &deepThree })
        BOOST_REQUIRE(node->apply(kEntries, 1));
    Caller caller(loop);
    const auto answer
        = caller.call(frontNode.address, { { kKindHeader, "read" }, { kRequestIdHeader, "root" } });
    BOOST_TEST(outcomeOf(answer) == "failed");
    // Allowance 2: one stays at the first hop and one goes along. The hop next to the failure retries once;
    // the hop above does not, since the failure lies deeper.
    BOOST_TEST(deep.requests.size() == 2U);
    BOOST_TEST(front.requests.size() == 1U);
    for (const relay::Request& request : deep.requests)
        BOOST_TEST(relay::headerOf(request, kRequestIdHeader) == "root/1");
}

BOOST_AUTO_TEST_CASE(anOldOrInvalidCatalogueNeverTakesHold)
{
    Pair pair(answerOk);
    TestNode& node = pair.one;
    const std::string odd = R"({"entries":{"work/x":{"value":{"class":"odd"}}}})";
    BOOST_TEST(node.offer("{\"entries\":{}}", 1)); // Held already: nothing to do.
    BOOST_TEST(outcomeOf(pair.call(node, { { kKindHeader, "read" } })) == "ok"); // The entries of version 1.
    BOOST_TEST(!node.offer("{\"entries\":", 2));
    BOOST_TEST(!node.offer(odd, 3));
    BOOST_TEST(node.node.configurationVersion() == 1U);
    BOOST_TEST(node.offer("{\"entries\":{}}", 4));
    BOOST_TEST(node.node.configurationVersion() == 4U);
    BOOST_TEST(node.apply(kEntries, 3));
    BOOST_TEST(node.node.configurationVersion() == 4U);
    BOOST_TEST(outcomeOf(pair.call(node, { { kKindHeader, "read" } })) == "not-run"); // No service is named.
}

BOOST_AUTO_TEST_CASE(expiredClaimsAreRemovedAndValidOnesStay)
{
    relay::asio::io_context loop;
    FakeObjects objects(loop);
    const ObjectApi api = objects.port();
    const absl::Time now = absl::FromUnixSeconds(1'800'000'000);
    const std::string id = absl::StrCat("t", absl::ToUnixSeconds(now), "-a");
    const auto claim = [&](absl::Time at) {
        std::optional<ClaimEnd> end;
        claimRequest(api, id, at, [&](const Claim& given) { end = given.end; });
        runUntil(loop, [&] { return end.has_value(); });
        return *end;
    };
    const auto remove = [&](absl::Time at) {
        std::optional<int> removed;
        removeExpiredClaims(api, at, [&](int count) { removed = count; });
        runUntil(loop, [&] { return removed.has_value(); });
        return *removed;
    };
    BOOST_TEST((claim(now) == ClaimEnd::Claimed));
    BOOST_TEST(remove(now + kRequestIdValidity) == 0);
    BOOST_TEST((claim(now + kRequestIdValidity) == ClaimEnd::Duplicate));
    BOOST_TEST(remove(now + absl::Hours(5)) == 1);
    BOOST_TEST((claim(now + absl::Hours(5)) == ClaimEnd::BadId));
}

BOOST_AUTO_TEST_CASE(nodesThatShareARecordMeet)
{
    relay::asio::io_context loop;
    FakeObjects objects(loop);
    // More nodes than records in their data centre: some replace the record of another.
    std::vector<std::unique_ptr<ScriptedTarget>> targets;
    std::vector<std::unique_ptr<TestNode>> nodes;
    for (int index = 0; index < 7; ++index) {
        targets.push_back(std::make_unique<ScriptedTarget>(loop, answerOk));
        nodes.push_back(std::make_unique<TestNode>(objects, "desk", targets.back()->address()));
    }
    for (const auto& node : nodes)
        runUntil(loop, [&] { return node->node.servingMemberCount() == nodes.size(); });
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesGivesItsClaimBack)
{
    Pair pair(answerOk);
    const std::string id = onceId("f");
    pair.objects.isDown = true; // The claim can't be made: refused, so the same id may come again.
    BOOST_TEST(
        outcomeOf(pair.call(pair.one, { { kKindHeader, "book" }, { kRequestIdHeader, id } })) == "not-run");
    pair.objects.isDown = false;
    BOOST_TEST(outcomeOf(pair.call(pair.two, { { kKindHeader, "book" }, { kRequestIdHeader, id } })) == "ok");
}

} // namespace
} // namespace jackdawwall
