// Bound on repeated arrivals in any window, over all nodes of a service.
#include "jackdawwall/arrival-budget.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace jackdawwall;

namespace {

struct LoadCase {
    std::size_t targets;
    int firstsPerSecond; ///< Over all targets.
    int repeatsPerSecond; ///< Wanted, over all targets.
};

std::ostream& operator<<(std::ostream& out, const LoadCase& load)
{
    return out << load.targets << " targets, " << load.firstsPerSecond << "/s";
}

const LoadCase kLoads[] = { { 1, 10, 100 }, { 4, 100, 100 }, { 4, 0, 50 }, { 30, 200, 400 } };

} // namespace

BOOST_DATA_TEST_CASE(noWindowHoldsMoreThanTheBound, boost::unit_test::data::make(kLoads), load)
{
    const ArrivalBudgetOptions options;
    std::vector<ArrivalBudget> nodes(load.targets);
    std::mt19937 generator(7);
    std::deque<absl::Time> firsts;
    std::deque<absl::Time> repeats;
    constexpr int kMilliseconds = 40000;
    for (int tick = 0; tick < kMilliseconds; ++tick) {
        const absl::Time now = absl::UnixEpoch() + absl::Milliseconds(tick);
        const auto hits = [&](int perSecond) { return static_cast<int>(generator() % 1000) < perSecond; };
        ArrivalBudget& node = nodes[generator() % nodes.size()];
        if (hits(load.firstsPerSecond)) {
            recordFirstArrival(node, options, now);
            firsts.push_back(now);
        }
        if (hits(load.repeatsPerSecond) && tryAcquireRetryArrival(node, options, load.targets, now))
            repeats.push_back(now);
        while (!firsts.empty() && firsts.front() < now - options.window)
            firsts.pop_front();
        while (!repeats.empty() && repeats.front() < now - options.window)
            repeats.pop_front();
        const double bound = options.retryRatio * static_cast<double>(firsts.size()) + options.extraRetries;
        BOOST_REQUIRE(static_cast<double>(repeats.size()) <= bound);
    }
}

BOOST_AUTO_TEST_CASE(repeatsAreAllowedAgainAfterTheWindow)
{
    ArrivalBudgetOptions options;
    options.retryRatio = 0;
    options.extraRetries = 2;
    options.safety = 1;
    ArrivalBudget budget;
    const absl::Time now = absl::UnixEpoch();
    BOOST_TEST(tryAcquireRetryArrival(budget, options, 1, now));
    BOOST_TEST(tryAcquireRetryArrival(budget, options, 1, now));
    BOOST_TEST(!tryAcquireRetryArrival(budget, options, 1, now + options.window));
    BOOST_TEST(tryAcquireRetryArrival(budget, options, 1, now + options.window + absl::Milliseconds(1)));
}
