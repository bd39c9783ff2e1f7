// Sends calls through real nodes in one process and checks that callers receive the correct outcome.
#include "node-fixture.h"
#include "node/claim-store.h"
#include "table.h"

#include "absl/strings/str_cat.h"

namespace jackdawwall {
namespace {

using relay::ExchangeResult;
using relay::ExchangeStatus;
using test::Caller;
using test::FakeObjects;
using test::introduce;
using test::runUntil;
using test::ScriptedTarget;
using test::TargetResponse;
using test::TestNode;

std::optional<TargetResponse> reply(int status, const std::string& headers, const std::string& body)
{
    return TargetResponse { absl::StrCat("HTTP/1.1 ", status, " X\r\n", headers,
                                "Content-Length: ", body.size(), "\r\n\r\n", body),
        false, false };
}

std::optional<TargetResponse> respondOk(const relay::Request& request)
{
    return reply(200, "",
        absl::StrCat("id=", relay::headerValue(request, kRequestIdHeader), " bytes=", request.body().size()));
}

std::optional<TargetResponse> respondTruncated(const relay::Request&)
{
    return TargetResponse { "HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n", true, false };
}

std::optional<TargetResponse> respondUndelimited(const relay::Request&)
{
    return TargetResponse { "HTTP/1.1 200 X\r\n\r\npartial body", true, false };
}

std::optional<TargetResponse> respondNotRun(const relay::Request&)
{
    return reply(503, "Jackdaw-Outcome: not-run\r\n", "");
}

std::optional<TargetResponse> respondFailed(const relay::Request&)
{
    return reply(503, "", "");
}

const std::vector<std::pair<std::string, std::string>> kCatalogueEntries {
    { "work/book", R"({"owner":"o","class":"critical","service":"desk","repeat":"never"})" },
    { "work/read", R"({"owner":"o","class":"interactive","service":"desk","attempts":2})" },
    { "caller/default", R"({"owner":"o"})" },
};

std::string validRequestId(const std::string& unique)
{
    return absl::StrCat("t", absl::ToUnixSeconds(absl::Now()), "-", unique);
}

std::string outcomeOf(const ExchangeResult& result)
{
    BOOST_TEST((result.status == ExchangeStatus::Complete));
    return std::string(relay::headerValue(result.response, kOutcomeHeader));
}

std::string reasonOf(const ExchangeResult& result)
{
    return std::string(relay::headerValue(result.response, kReasonHeader));
}

/// Two nodes of one service, each with its own target.
struct NodePair {
    explicit NodePair(const ScriptedTarget::Script& script, absl::Duration leaveDelay = absl::Seconds(3))
        : firstTarget(loop, script)
        , secondTarget(loop, script)
        , firstNode(objects, "desk", firstTarget.address(), leaveDelay)
        , secondNode(objects, "desk", secondTarget.address(), leaveDelay)
    {
        introduce(loop, { &firstNode, &secondNode });
        BOOST_REQUIRE(firstNode.apply(kCatalogueEntries, 1));
        BOOST_REQUIRE(secondNode.apply(kCatalogueEntries, 1));
    }

    std::size_t runs() const { return firstTarget.requests.size() + secondTarget.requests.size(); }
    ExchangeResult call(const TestNode& node, const test::CallHeaders& headers, const std::string& body = "")
    {
        return caller.call(node.address, headers, body);
    }

    relay::asio::io_context loop;
    FakeObjects objects { loop };
    ScriptedTarget firstTarget;
    ScriptedTarget secondTarget;
    TestNode firstNode;
    TestNode secondNode;
    Caller caller { loop };
};

struct OutcomeRow {
    const char* name;
    ScriptedTarget::Script script;
    const char* kind;
    const char* outcome;
    std::size_t minRuns;
    std::size_t maxRuns;
};

BOOST_AUTO_TEST_CASE(reportsTheOutcomeOfEachCall)
{
    const std::vector<OutcomeRow> table {
        { "read with a response", respondOk, "read", "ok", 1, 1 },
        { "booking with a response", respondOk, "book", "ok", 1, 1 },
        { "read with a truncated response is retried on another target", respondTruncated, "read", "unknown",
            2, 2 },
        { "booking with a truncated response is not retried", respondTruncated, "book", "unknown", 1, 1 },
        { "response without a declared end", respondUndelimited, "book", "unknown", 1, 1 },
        { "failed read is retried on another target", respondFailed, "read", "failed", 2, 2 },
        { "failed booking is not retried", respondFailed, "book", "failed", 1, 1 },
        { "both targets report that the read did not run", respondNotRun, "read", "not-run", 2, 2 },
        { "booking that did not run is safe to retry on another target", respondNotRun, "book", "not-run", 2,
            2 },
    };
    test::forEachRow(table, [](const OutcomeRow& row) {
        NodePair pair(row.script);
        const auto result = pair.call(pair.firstNode,
            { { kKindHeader, row.kind }, { kRequestIdHeader, validRequestId("a") },
                { kDeadlineHeader, "20000" } });
        BOOST_TEST(outcomeOf(result) == row.outcome);
        BOOST_TEST(pair.runs() >= row.minRuns);
        BOOST_TEST(pair.runs() <= row.maxRuns);
    });
}

BOOST_AUTO_TEST_CASE(nonIdempotentCallRunsAtMostOnceAcrossNodes)
{
    NodePair pair(respondOk);
    const std::string id = validRequestId("b");
    BOOST_TEST(
        outcomeOf(pair.call(pair.firstNode, { { kKindHeader, "book" }, { kRequestIdHeader, id } })) == "ok");
    const auto duplicate = pair.call(pair.secondNode, { { kKindHeader, "book" }, { kRequestIdHeader, id } });
    BOOST_TEST(outcomeOf(duplicate) == "unknown");
    BOOST_TEST(reasonOf(duplicate) == "duplicate");
    BOOST_TEST(pair.runs() == 1U);
}

BOOST_AUTO_TEST_CASE(nonIdempotentCallThatDidNotRunMayBeRetried)
{
    NodePair pair(respondNotRun);
    const std::string id = validRequestId("c");
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto result = pair.call(pair.firstNode, { { kKindHeader, "book" }, { kRequestIdHeader, id } });
        BOOST_TEST(outcomeOf(result) == "not-run");
    }
}

BOOST_AUTO_TEST_CASE(nonIdempotentCallsAreRejectedWithoutThePlatform)
{
    NodePair pair(respondOk);
    pair.objects.isUnavailable = true;
    const auto booking
        = pair.call(pair.firstNode, { { kKindHeader, "book" }, { kRequestIdHeader, validRequestId("d") } });
    BOOST_TEST(outcomeOf(booking) == "not-run");
    BOOST_TEST(reasonOf(booking) == "platform-unavailable");
    BOOST_TEST(pair.runs() == 0U);
    BOOST_TEST(outcomeOf(pair.call(pair.firstNode, { { kKindHeader, "read" } })) == "ok");
}

BOOST_AUTO_TEST_CASE(claimWithLostWriteResponseIsRecognized)
{
    NodePair pair(respondOk);
    pair.objects.losesWriteResponses = true;
    const std::string id = validRequestId("e");
    BOOST_TEST(
        outcomeOf(pair.call(pair.firstNode, { { kKindHeader, "book" }, { kRequestIdHeader, id } })) == "ok");
    BOOST_TEST(outcomeOf(pair.call(pair.secondNode, { { kKindHeader, "book" }, { kRequestIdHeader, id } }))
        == "unknown");
    BOOST_TEST(pair.runs() == 1U);
}

struct IdRow {
    const char* name;
    std::string id;
};

BOOST_AUTO_TEST_CASE(nonIdempotentWorkNeedsAValidRequestId)
{
    const std::int64_t now = absl::ToUnixSeconds(absl::Now());
    const std::vector<IdRow> table { { "no timestamp", "abc" },
        { "too old", absl::StrCat("t", now - 4000, "-a") },
        { "timestamp in the future", absl::StrCat("t", now + 1000, "-a") }, { "no dash", "t12345" } };
    NodePair pair(respondOk);
    test::forEachRow(table, [&](const IdRow& row) {
        const auto result
            = pair.call(pair.firstNode, { { kKindHeader, "book" }, { kRequestIdHeader, row.id } });
        BOOST_TEST(outcomeOf(result) == "not-run");
        BOOST_TEST(reasonOf(result) == "bad-request");
    });
    BOOST_TEST(pair.runs() == 0U);
}

struct HeaderRow {
    const char* name;
    std::pair<std::string, std::string> header;
    unsigned status;
};

BOOST_AUTO_TEST_CASE(validatesCallerHeaders)
{
    const std::vector<HeaderRow> table {
        { "deadline is not a number", { kDeadlineHeader, "soon" }, 400 },
        { "deadline is negative", { kDeadlineHeader, "-5" }, 400 },
        { "repeat is neither never nor idempotent", { kRepeatHeader, "perhaps" }, 400 },
        { "name with a space", { kCallerHeader, "a b" }, 400 },
        { "name too long", { kCallerHeader, std::string(129, 'a') }, 400 },
        { "parent is not a token of a node", { kParentHeader, "xyz" }, 400 },
        { "parent call has ended", { kParentHeader, "0123456789abcdef" }, 503 },
        { "unknown caller gets the default entry", { kCallerHeader, "stranger" }, 200 },
    };
    NodePair pair(respondOk);
    test::forEachRow(table, [&](const HeaderRow& row) {
        const auto result = pair.call(pair.firstNode, { { kKindHeader, "read" }, row.header });
        BOOST_REQUIRE((result.status == ExchangeStatus::Complete));
        BOOST_TEST(result.response.result_int() == row.status);
        BOOST_TEST((row.status == 200 || outcomeOf(result) == "not-run"));
    });
}

BOOST_AUTO_TEST_CASE(largeBodiesAreForwardedCompletely)
{
    const std::string large(4U << 20, 'y');
    NodePair pair([](const relay::Request& request) { return reply(200, "", request.body()); });
    for (const std::size_t bytes :
        { std::size_t(0), std::size_t(1), std::size_t(65536), std::size_t(65537), large.size() }) {
        const auto result = pair.call(pair.firstNode, { { kKindHeader, "read" } }, large.substr(0, bytes));
        BOOST_REQUIRE((result.status == ExchangeStatus::Complete));
        BOOST_TEST(result.response.body().size() == bytes);
    }
}

BOOST_AUTO_TEST_CASE(acceptsTwentyKilobyteHeadAndRejectsForty)
{
    NodePair pair(respondOk);
    const auto statusFor = [&](std::size_t bytes) {
        return pair.call(pair.firstNode, { { kKindHeader, "read" }, { "X-Large", std::string(bytes, 'x') } })
            .response.result_int();
    };
    BOOST_TEST(statusFor(20'000) == 200U);
    BOOST_TEST(statusFor(40'000) == 431U);
}

BOOST_AUTO_TEST_CASE(stoppingNodeRespondsNotRunAndTheCallIsRerouted)
{
    NodePair pair(respondOk, absl::ZeroDuration());
    pair.firstNode.node.stop();
    for (int index = 0; index < 10; ++index)
        BOOST_TEST(outcomeOf(pair.call(pair.secondNode, { { kKindHeader, "read" } })) == "ok");
    BOOST_TEST(pair.firstTarget.requests.empty());
}

BOOST_AUTO_TEST_CASE(unreachableTargetFailsNoCall)
{
    NodePair pair(respondOk);
    pair.firstTarget.stop();
    for (int index = 0; index < 10; ++index)
        BOOST_TEST(outcomeOf(pair.call(pair.firstNode, { { kKindHeader, "read" } })) == "ok");
    BOOST_TEST(pair.secondTarget.requests.size() == 10U);
}

BOOST_AUTO_TEST_CASE(callChainSharesOneRetryAllowanceAndRequestId)
{
    relay::asio::io_context loop;
    FakeObjects objects(loop);
    Caller nestedCaller(loop);
    ScriptedTarget deep(loop, respondFailed);
    ScriptedTarget front(loop, ScriptedTarget::AsyncScript([&](const relay::Request& request, auto done) {
        const std::string node(relay::headerValue(request, kNodeHeader));
        const std::string parent(relay::headerValue(request, kParentHeader));
        nestedCaller.send(node,
            { { kServiceHeader, "deep" }, { kKindHeader, "read" }, { kParentHeader, parent } }, "",
            [done](const ExchangeResult& result) {
                done(*reply(result.response.result_int() == 200 ? 200 : 502, "", ""));
            });
    }));
    TestNode frontNode(objects, "desk", front.address());
    TestNode deepOne(objects, "deep", deep.address());
    TestNode deepTwo(objects, "deep", deep.address());
    TestNode deepThree(objects, "deep", deep.address());
    introduce(loop, { &frontNode, &deepOne, &deepTwo, &deepThree });
    for (TestNode* node : { &frontNode, &deepOne, &deepTwo, &deepThree })
        BOOST_REQUIRE(node->apply(kCatalogueEntries, 1));
    Caller caller(loop);
    const auto result
        = caller.call(frontNode.address, { { kKindHeader, "read" }, { kRequestIdHeader, "root" } });
    BOOST_TEST(outcomeOf(result) == "failed");
    // The allowance is 2: the first hop keeps one and delegates one to the nested call. The hop next to the
    // failure retries once. The hop above doesn't retry, since the failure occurred at a deeper hop.
    BOOST_TEST(deep.requests.size() == 2U);
    BOOST_TEST(front.requests.size() == 1U);
    for (const relay::Request& request : deep.requests)
        BOOST_TEST(relay::headerValue(request, kRequestIdHeader) == "root/1");
}

BOOST_AUTO_TEST_CASE(oldOrInvalidCatalogueIsNotApplied)
{
    NodePair pair(respondOk);
    TestNode& node = pair.firstNode;
    const std::string invalidClass = R"({"entries":{"work/x":{"value":{"class":"odd"}}}})";
    // The node already has version 1, so it keeps the entries of that version.
    BOOST_TEST(node.applyDocument("{\"entries\":{}}", 1));
    BOOST_TEST(outcomeOf(pair.call(node, { { kKindHeader, "read" } })) == "ok");
    BOOST_TEST(!node.applyDocument("{\"entries\":", 2));
    BOOST_TEST(!node.applyDocument(invalidClass, 3));
    BOOST_TEST(node.node.configurationVersion() == 1U);
    BOOST_TEST(node.applyDocument("{\"entries\":{}}", 4));
    BOOST_TEST(node.node.configurationVersion() == 4U);
    BOOST_TEST(node.apply(kCatalogueEntries, 3));
    BOOST_TEST(node.node.configurationVersion() == 4U);
    // Version 4 has no entries, so the kind of work has no service.
    BOOST_TEST(outcomeOf(pair.call(node, { { kKindHeader, "read" } })) == "not-run");
}

BOOST_AUTO_TEST_CASE(removesOnlyExpiredClaims)
{
    relay::asio::io_context loop;
    FakeObjects objects(loop);
    const ObjectApi api = objects.port();
    const absl::Time now = absl::FromUnixSeconds(1'800'000'000);
    const std::string id = absl::StrCat("t", absl::ToUnixSeconds(now), "-a");
    const auto claim = [&](absl::Time at) {
        std::optional<ClaimResult> result;
        claimRequest(api, id, at, [&](const Claim& received) { result = received.result; });
        runUntil(loop, [&] { return result.has_value(); });
        return *result;
    };
    const auto remove = [&](absl::Time at) {
        std::optional<int> removed;
        removeExpiredClaims(api, at, [&](int count) { removed = count; });
        runUntil(loop, [&] { return removed.has_value(); });
        return *removed;
    };
    BOOST_TEST((claim(now) == ClaimResult::Claimed));
    BOOST_TEST(remove(now + kRequestIdValidity) == 0);
    BOOST_TEST((claim(now + kRequestIdValidity) == ClaimResult::Duplicate));
    BOOST_TEST(remove(now + absl::Hours(5)) == 1);
    BOOST_TEST((claim(now + absl::Hours(5)) == ClaimResult::InvalidId));
}

BOOST_AUTO_TEST_CASE(nodesThatShareASeedRecordDiscoverEachOther)
{
    relay::asio::io_context loop;
    FakeObjects objects(loop);
    // There are more nodes than seed records in the data centre, so some nodes overwrite the record of
    // another.
    std::vector<std::unique_ptr<ScriptedTarget>> targets;
    std::vector<std::unique_ptr<TestNode>> nodes;
    for (int index = 0; index < 7; ++index) {
        targets.push_back(std::make_unique<ScriptedTarget>(loop, respondOk));
        nodes.push_back(std::make_unique<TestNode>(objects, "desk", targets.back()->address()));
    }
    for (const auto& node : nodes)
        runUntil(loop, [&] { return node->node.servingMemberCount() == nodes.size(); });
}

BOOST_AUTO_TEST_CASE(requestIdMayBeReusedAfterAFailedClaim)
{
    NodePair pair(respondOk);
    const std::string id = validRequestId("f");
    // The claim can't be made, so the call is rejected and its id may be used again.
    pair.objects.isUnavailable = true;
    BOOST_TEST(outcomeOf(pair.call(pair.firstNode, { { kKindHeader, "book" }, { kRequestIdHeader, id } }))
        == "not-run");
    pair.objects.isUnavailable = false;
    BOOST_TEST(
        outcomeOf(pair.call(pair.secondNode, { { kKindHeader, "book" }, { kRequestIdHeader, id } })) == "ok");
}

} // namespace
} // namespace jackdawwall
