// The limit that a target names itself: its values, the order of responses, and admission under it.
#include "jackdawwall/call-flow.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>
#include <vector>

using namespace jackdawwall;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

absl::Time at(double seconds)
{
    return kStart + absl::Seconds(seconds);
}

struct TextRow {
    std::string text;
    std::optional<double> rate;
};

std::ostream& operator<<(std::ostream& out, const TextRow& row)
{
    return out << '"' << row.text.substr(0, 40) << '"';
}

const TextRow kTexts[] = {
    { "2", 2.0 },
    { "3.5", 3.5 },
    { "0.4", 0.4 },
    { "0", 0.0 },
    { "", std::nullopt },
    { ".", std::nullopt },
    { "two", std::nullopt },
    { "2 3", std::nullopt },
    { "2, 3", std::nullopt },
    { "1.2.3", std::nullopt },
    { "-1", std::nullopt },
    { "+1", std::nullopt },
    { "1e3", std::nullopt },
    { "inf", std::nullopt },
    { "nan", std::nullopt },
    { "0x10", std::nullopt },
    { std::string(5000, '9'), std::nullopt },
};

/// A response to a request sent at `sentAt` that arrived at `now`, and the limit after it.
struct ResponseStep {
    std::optional<double> named;
    double sentAt;
    double now;
    RateChange change;
    std::optional<double> after;
};

struct ResponsesRow {
    const char* name;
    std::vector<ResponseStep> steps;
};

std::ostream& operator<<(std::ostream& out, const ResponsesRow& row)
{
    return out << row.name;
}

const ResponsesRow kResponses[] = {
    { "named, changed, ended",
        { { 2, 0, 1, RateChange::Started, 2 }, { 2, 2, 3, RateChange::None, 2 },
            { 5, 4, 5, RateChange::Changed, 5 }, { {}, 6, 7, RateChange::Ended, {} } } },
    { "an older response without a limit arrives late",
        { { 2, 1, 2, RateChange::Started, 2 }, { {}, 0, 3, RateChange::None, 2 } } },
    { "an older response with a higher limit arrives late",
        { { 2, 1, 2, RateChange::Started, 2 }, { 9, 1.5, 3, RateChange::None, 2 } } },
    { "a lower limit is taken from every response",
        { { 9, 1, 2, RateChange::Started, 9 }, { 2, 0, 3, RateChange::Changed, 2 } } },
};

/// Started calls when one is offered every 10 ms and takes no time.
std::vector<absl::Time> startsUnder(AdmissionState& state, absl::Duration time)
{
    std::vector<absl::Time> starts;
    CallId id = 1'000'000;
    for (absl::Time now = kStart; now < kStart + time; now += absl::Milliseconds(10)) {
        OfferedCall call;
        call.id = ++id;
        call.hasAlternative = true;
        if (offerCall(state, call, now).verdict != Verdict::Start)
            continue;
        starts.push_back(now);
        finishCall(state, call.id, RunResult::Aborted, {}, now);
    }
    return starts;
}

const double kRates[] = { 0.4, 1, 2, 2.5, 3.5, 10, 40 };

} // namespace

BOOST_DATA_TEST_CASE(onlyDecimalNumbersAreLimits, boost::unit_test::data::make(kTexts), row)
{
    BOOST_TEST((parseTargetRate(row.text) == row.rate));
}

BOOST_DATA_TEST_CASE(responsesApplyInTheOrderOfTheirRequests, boost::unit_test::data::make(kResponses), row)
{
    TargetRate rate;
    for (const ResponseStep& step : row.steps) {
        BOOST_TEST((recordNamedRate(rate, step.named, at(step.sentAt), at(step.now)) == step.change));
        BOOST_TEST((rate.callsPerSecond == step.after));
    }
}

BOOST_AUTO_TEST_CASE(anotherNodesKnowledgeIsUsedUntilTheTargetResponds)
{
    TargetRate rate;
    BOOST_TEST((adoptNamedRate(rate, 2, at(5), at(6)) == RateChange::Started));
    BOOST_TEST((adoptNamedRate(rate, 8, at(4), at(7)) == RateChange::None));
    BOOST_TEST((adoptNamedRate(rate, 3, at(5.5), at(8)) == RateChange::Changed));
    BOOST_TEST((recordNamedRate(rate, {}, at(9), at(10)) == RateChange::Ended));
    BOOST_TEST((adoptNamedRate(rate, 3, at(9.5), at(11)) == RateChange::None));
}

BOOST_DATA_TEST_CASE(startsFollowTheRate, boost::unit_test::data::make(kRates), perSecond)
{
    AdmissionState state = makeAdmissionState({});
    recordNamedRate(state.rate, perSecond, kStart, kStart);
    const std::vector<absl::Time> starts = startsUnder(state, absl::Seconds(20));
    BOOST_TEST(static_cast<double>(starts.size()) >= 20 * perSecond - 1);
    for (std::size_t first = 0; first < starts.size(); ++first) {
        const auto end = std::lower_bound(starts.begin(), starts.end(), starts[first] + absl::Seconds(4));
        const auto count = static_cast<double>(end - starts.begin()) - static_cast<double>(first);
        BOOST_TEST(count <= 1.5 * perSecond * 4 + 5);
    }
}

// A target that names 0 is asked now and then, as only a response can end the limit.
BOOST_AUTO_TEST_CASE(aLimitOfZeroEnds)
{
    AdmissionState state = makeAdmissionState({});
    recordNamedRate(state.rate, 0, kStart, kStart);
    const std::vector<absl::Time> starts = startsUnder(state, absl::Seconds(30));
    BOOST_TEST(!starts.empty());
    BOOST_TEST(starts.size() <= 3U);
}

BOOST_AUTO_TEST_CASE(urgentCallsGetTheNextStart)
{
    AdmissionState state = makeAdmissionState({});
    recordNamedRate(state.rate, 2, kStart, kStart);
    const auto offer = [&](CallId id, Priority priority) {
        OfferedCall call;
        call.id = id;
        call.priority = priority;
        call.maximumWait = absl::Seconds(0.9);
        return offerCall(state, call, kStart);
    };
    BOOST_TEST((offer(1, Priority::Bulk).verdict == Verdict::Wait));
    BOOST_TEST((offer(2, Priority::Critical).verdict == Verdict::Wait));
    const Decision later = offer(3, Priority::Bulk);
    BOOST_TEST((later.verdict == Verdict::Refuse && later.reason == Reason::TargetLimit));
    // The first would now start after its longest wait, so it is refused at once.
    const QueueUpdate refused = advanceTime(state, at(0.02));
    BOOST_REQUIRE_EQUAL(refused.refused.size(), 1U);
    BOOST_TEST(refused.refused.front().id == 1U);
    BOOST_TEST((refused.refused.front().reason == Reason::TargetLimit));
    const QueueUpdate started = advanceTime(state, at(0.52));
    BOOST_REQUIRE_EQUAL(started.started.size(), 1U);
    BOOST_TEST(started.started.front() == 2U);
}

// Calls that wait when a limit begins go to other targets at once.
BOOST_AUTO_TEST_CASE(waitingCallsWithAnAlternativeAreRefusedWhenALimitBegins)
{
    AdmissionOptions options;
    options.limit.initial = 1;
    AdmissionState state = makeAdmissionState(options);
    OfferedCall call;
    call.maximumWait = absl::Seconds(5);
    for (call.id = 1; call.id <= 3; ++call.id) {
        call.hasAlternative = call.id == 3;
        static_cast<void>(offerCall(state, call, kStart));
    }
    recordNamedRate(state.rate, 1, kStart, kStart);
    const QueueUpdate update = advanceTime(state, at(0.02));
    BOOST_REQUIRE_EQUAL(update.refused.size(), 1U);
    BOOST_TEST(update.refused.front().id == 3U);
    BOOST_TEST((update.refused.front().reason == Reason::TargetLimit));
}
