// Virtual-time load of the pattern "fan-out into a scarce service": runs of a middle service make four calls
// each, one after the other, to a deep service that has less capacity than they need.
#include "jackdawwall/admission.h"

#include "test/table.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace jackdawwall {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr int kCallsPerRun = 4;
constexpr absl::Duration kDeepTime = absl::Milliseconds(55);
constexpr std::size_t kDeepQueue = 4;
constexpr absl::Duration kMaximumWait = absl::Milliseconds(500);

struct Outcomes {
    int bookings = 0;
    int wholeBookings = 0;
    int reads = 0;
    int wholeReads = 0;
    int failedRuns = 0;
};

/// One gate of the middle service and its share of the deep service, driven by a queue of timed events.
class ScarceDeepService {
public:
    ScarceDeepService(int deepSlots, double arrivalsPerSecond, bool isLimited)
        : deepSlots_(deepSlots)
        , arrivalsPerSecond_(arrivalsPerSecond)
        , isLimited_(isLimited)
    {
        AdmissionOptions options;
        options.limit.initial = options.limit.maximum = 60;
        options.limit.minimum = 42;
        admission_ = makeAdmissionState(options);
    }

    Outcomes run(absl::Duration length)
    {
        at(kStart, [this] { arrive(); });
        at(kStart, [this] { tick(); });
        while (!events_.empty() && events_.begin()->first < kStart + length) {
            auto node = events_.extract(events_.begin());
            now_ = node.key();
            node.mapped()();
        }
        return outcomes_;
    }

    const DownstreamLimit& limit() const { return admission_.downstream; }
    void setArrivals(double perSecond) { arrivalsPerSecond_ = perSecond; }
    void at(absl::Time time, std::function<void()> event) { events_.emplace(time, std::move(event)); }

private:
    void arrive()
    {
        OfferedCall call;
        call.id = ++lastId_;
        call.priority = lastId_ % 3 == 0 ? Priority::Critical : Priority::Browse;
        call.cost = costKey("index", 0);
        call.deadline = now_ + absl::Seconds(2);
        call.maximumWait = kMaximumWait;
        isBooking_[call.id] = call.priority == Priority::Critical;
        (isBooking_[call.id] ? outcomes_.bookings : outcomes_.reads) += 1;
        if (offerCall(admission_, call, now_).verdict == Verdict::Start)
            callDeep(call.id, kCallsPerRun);
        std::exponential_distribution<double> gap(arrivalsPerSecond_);
        at(now_ + absl::Seconds(gap(generator_)), [this] { arrive(); });
    }

    void tick()
    {
        if (!isLimited_)
            admission_.downstream = {};
        start(advanceTime(admission_, now_));
        at(now_ + absl::Milliseconds(20), [this] { tick(); });
    }

    void callDeep(CallId id, int remaining)
    {
        if (remaining == 0) {
            (isBooking_[id] ? outcomes_.wholeBookings : outcomes_.wholeReads) += 1;
            end(id, RunResult::Completed);
        } else if (deepRunning_ < deepSlots_) {
            runDeep(id, remaining);
        } else if (deepQueue_.size() < kDeepQueue) {
            deepQueue_.emplace_back(id, remaining);
        } else {
            recordDownstreamRefusal(admission_.downstream);
            ++outcomes_.failedRuns;
            end(id, RunResult::Failed);
        }
    }

    void runDeep(CallId id, int remaining)
    {
        ++deepRunning_;
        at(now_ + kDeepTime, [this, id, remaining] {
            --deepRunning_;
            recordDownstreamResponse(admission_.downstream, !deepQueue_.empty());
            if (!deepQueue_.empty()) {
                const auto [next, nextRemaining] = deepQueue_.front();
                deepQueue_.pop_front();
                runDeep(next, nextRemaining);
            }
            callDeep(id, remaining - 1);
        });
    }

    void end(CallId id, RunResult result)
    {
        start(finishCall(admission_, id, result, absl::ZeroDuration(), now_));
    }

    void start(const QueueUpdate& update)
    {
        for (const CallId id : update.started)
            callDeep(id, kCallsPerRun);
    }

    int deepSlots_;
    double arrivalsPerSecond_;
    bool isLimited_;
    AdmissionState admission_;
    std::multimap<absl::Time, std::function<void()>> events_;
    std::map<CallId, bool> isBooking_;
    std::mt19937_64 generator_ { 7 };
    absl::Time now_ = kStart;
    CallId lastId_ = 0;
    int deepRunning_ = 0;
    std::deque<std::pair<CallId, int>>
        deepQueue_; ///< Calls that wait, with the calls that their runs still make.
    Outcomes outcomes_;
};

struct ScarcityRow {
    const char* name;
    int deepSlots; ///< 80 runs a second need 17.6 of them.
    double gain; ///< Least gain in whole bookings.
};

BOOST_AUTO_TEST_CASE(bookingsCompleteWhileTheDeepServiceIsScarce)
{
    const std::vector<ScarcityRow> table { { "two thirds", 12, 1.3 }, { "half", 9, 1.5 } };
    test::forEachRow(table, [](const ScarcityRow& row) {
        const Outcomes with = ScarceDeepService(row.deepSlots, 80, true).run(absl::Seconds(20));
        const Outcomes without = ScarceDeepService(row.deepSlots, 80, false).run(absl::Seconds(20));
        BOOST_TEST(with.wholeBookings > 0.9 * with.bookings);
        BOOST_TEST(with.wholeBookings > row.gain * without.wholeBookings);
        BOOST_TEST(with.failedRuns < without.failedRuns);
        BOOST_TEST(with.wholeBookings + with.wholeReads > without.wholeBookings + without.wholeReads);
    });
}

BOOST_AUTO_TEST_CASE(theLimitEndsSoonAfterTheScarcity)
{
    ScarceDeepService service(9, 80, true);
    bool wasLimited = false;
    service.at(kStart + absl::Seconds(5), [&] {
        wasLimited = service.limit().limit < 30;
        service.setArrivals(20);
    });
    bool isLimitedLater = true;
    service.at(kStart + absl::Seconds(7), [&] { isLimitedLater = service.limit().limit < 1000; });
    service.run(absl::Seconds(8));
    BOOST_TEST(wasLimited);
    BOOST_TEST(!isLimitedLater);
}

struct IndependenceRow {
    const char* name;
    int ended;
    int failed;
    int refusals;
    bool isLimited;
};

BOOST_AUTO_TEST_CASE(limitsOnlyKindsThatFailWhileNestedCallsAreRefused)
{
    const std::vector<IndependenceRow> table {
        { "fails for want of capacity", 20, 10, 12, true },
        { "fails by itself", 20, 10, 0, false },
        { "makes no nested calls", 20, 0, 12, false },
        { "fails rarely", 20, 1, 12, false },
    };
    test::forEachRow(table, [](const IndependenceRow& row) {
        DownstreamLimit state;
        const CostKey kind = costKey("index", 0);
        advanceDownstream(state, {}, kStart);
        for (int run = 0; run < row.ended; ++run)
            recordDownstreamStart(state, kind);
        for (int run = 0; run < row.ended; ++run)
            recordDownstreamEnd(state, kind, run < row.failed);
        for (int refusal = 0; refusal < row.refusals; ++refusal)
            recordDownstreamRefusal(state);
        advanceDownstream(state, {}, kStart + absl::Milliseconds(200));
        BOOST_TEST((state.limit < 1000) == row.isLimited);
        BOOST_TEST(isDependent(state, kind) == row.isLimited);
    });
}

} // namespace
} // namespace jackdawwall
