#include "jackdawwall/concurrency-limit.h"

#include "test/table.h"

#include <queue>
#include <random>
#include <vector>

namespace jackdawwall {
namespace {

/// Simulates a target with slots and a FIFO queue, with as many calls in progress as the limit permits.
class SaturatedTarget {
public:
    SaturatedTarget(int slotCount, absl::Duration work, std::uint64_t seed)
        : slots(slotCount)
        , generator_(seed)
        , work_(work)
        , state_(makeLimitState(options_))
    {
    }

    void runFor(absl::Duration length)
    {
        const absl::Time end = now_ + length;
        while (now_ < end) {
            fill();
            const Completion completion = completions_.top();
            completions_.pop();
            advanceTo(completion.at);
            finish(completion);
        }
    }

    double limit() const { return steadyLimit(state_); }
    LimitState& state() { return state_; }

    int slots;
    double slowdown = 1;

private:
    struct Call {
        absl::Time since;
        int inFlightAtStart = 0;
    };
    struct Completion {
        absl::Time at;
        Call call;

        bool operator<(const Completion& other) const { return at > other.at; }
    };

    void fill()
    {
        while (inFlight_ < currentLimit(state_)) {
            queue_.push({ now_, inFlight_ });
            recordStart(state_, ++inFlight_);
        }
        startQueued();
    }

    void startQueued()
    {
        std::exponential_distribution<double> draw(1 / absl::ToDoubleSeconds(work_));
        while (running_ < slots && !queue_.empty()) {
            completions_.push({ now_ + absl::Seconds(draw(generator_) * slowdown), queue_.front() });
            queue_.pop();
            ++running_;
        }
    }

    void advanceTo(absl::Time time)
    {
        now_ = time;
        while (now_ >= nextWindow_) {
            closeWindow(state_, options_, nextWindow_);
            nextWindow_ += absl::Milliseconds(100);
        }
    }

    void finish(const Completion& completion)
    {
        --running_;
        --inFlight_;
        const absl::Duration time = now_ - completion.call.since;
        recordRun(state_, options_, 1, { time, time }, completion.call.inFlightAtStart);
    }

    std::mt19937_64 generator_;
    absl::Duration work_;
    LimitOptions options_;
    LimitState state_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    absl::Time nextWindow_ = now_ + absl::Milliseconds(100);
    std::priority_queue<Completion> completions_;
    std::queue<Call> queue_;
    int running_ = 0;
    int inFlight_ = 0;
};

struct SlotsRow {
    const char* name;
    int slots;
    absl::Duration work;
};

const std::vector<SlotsRow> kTargets {
    { "ledger", 10, absl::Milliseconds(20) },
    { "due-board", 25, absl::Milliseconds(10) },
    { "swatch", 35, absl::Milliseconds(10) },
    { "hist-desk", 100, absl::Milliseconds(5) },
};

BOOST_AUTO_TEST_CASE(findsTheSlotsOfEachTarget)
{
    test::forEachRow(kTargets, [](const SlotsRow& row) {
        SaturatedTarget target(row.slots, row.work, 1);
        target.runFor(absl::Seconds(20));
        double sum = 0;
        constexpr int kSampleCount = 100;
        for (int sample = 0; sample < kSampleCount; ++sample) {
            target.runFor(absl::Milliseconds(200));
            sum += target.limit();
        }
        // All slots are busy and, on average, at most as many calls are queued in the target.
        BOOST_TEST(sum / kSampleCount >= 0.9 * row.slots);
        BOOST_TEST(sum / kSampleCount <= 2.0 * row.slots);
    });
}

BOOST_AUTO_TEST_CASE(queueingDelayNeverRaisesTheBaseTime)
{
    // Guards against a base time that rises with the queueing caused by the limit: within ten minutes at full
    // load the limit would grow without bound.
    SaturatedTarget target(35, absl::Milliseconds(10), 2);
    target.runFor(absl::Minutes(10));
    BOOST_TEST(target.limit() <= 3 * 35);
}

BOOST_AUTO_TEST_CASE(followsAChangingNumberOfSlots)
{
    SaturatedTarget target(40, absl::Milliseconds(10), 3);
    target.runFor(absl::Seconds(10));
    target.slots = 10;
    target.runFor(absl::Seconds(60));
    BOOST_TEST(target.limit() <= 30);
    target.slots = 80;
    target.runFor(absl::Seconds(30));
    BOOST_TEST(target.limit() >= 60);
}

BOOST_AUTO_TEST_CASE(recoversAfterATemporarySlowdown)
{
    SaturatedTarget target(35, absl::Milliseconds(10), 4);
    target.runFor(absl::Seconds(10));
    target.slowdown = 20;
    target.runFor(absl::Seconds(5));
    target.slowdown = 1;
    target.runFor(absl::Seconds(5));
    BOOST_TEST(target.limit() >= 0.7 * 35);
}

BOOST_AUTO_TEST_CASE(targetRefusalsLowerTheLimit)
{
    LimitState state = makeLimitState({});
    state.limit = 50;
    recordStart(state, 50);
    for (int refusal = 0; refusal < 10; ++refusal)
        recordTargetRefusal(state);
    closeWindow(state, {}, absl::FromUnixSeconds(1));
    BOOST_TEST(state.limit < 50);
}

BOOST_AUTO_TEST_CASE(lowLoadDoesNotChangeTheLimit)
{
    LimitState state = makeLimitState({});
    recordStart(state, 1);
    for (int run = 0; run < 200; ++run)
        recordRun(state, {}, 1, { absl::Milliseconds(run < 100 ? 1 : 50), absl::Milliseconds(50) }, 0);
    const double before = state.limit;
    closeWindow(state, {}, absl::FromUnixSeconds(1));
    BOOST_TEST(state.limit == before);
}

} // namespace
} // namespace jackdawwall
