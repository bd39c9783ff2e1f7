// Checks the bound on retry arrivals in any window, over all nodes of a service.
#include "jackdawwall/arrival-budget.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace jackdawwall;

namespace {

struct LoadCase {
    std::size_t targets;
    int firstArrivalsPerSecond; ///< Over all targets.
    int retriesPerSecond; ///< Attempted, over all targets.
};

std::ostream& operator<<(std::ostream& out, const LoadCase& load)
{
    return out << load.targets << " targets, " << load.firstArrivalsPerSecond << "/s";
}

const LoadCase kLoads[] = { { 1, 10, 100 }, { 4, 100, 100 }, { 4, 0, 50 }, { 30, 200, 400 } };

} // namespace

BOOST_DATA_TEST_CASE(retryArrivalsStayWithinTheBoundInEveryWindow, boost::unit_test::data::make(kLoads), load)
{
    const ArrivalBudgetOptions options;
    std::vector<ArrivalBudget> nodes(load.targets);
    std::mt19937 generator(7);
    std::deque<absl::Time> firstArrivals;
    std::deque<absl::Time> retryArrivals;
    constexpr int kMilliseconds = 40000;
    for (int tick = 0; tick < kMilliseconds; ++tick) {
        const absl::Time now = absl::UnixEpoch() + absl::Milliseconds(tick);
        const auto isArrivalDue
            = [&](int perSecond) { return static_cast<int>(generator() % 1000) < perSecond; };
        ArrivalBudget& node = nodes[generator() % nodes.size()];
        if (isArrivalDue(load.firstArrivalsPerSecond)) {
            recordFirstArrival(node, options, now);
            firstArrivals.push_back(now);
        }
        if (isArrivalDue(load.retriesPerSecond) && tryAcquireRetryArrival(node, options, load.targets, now))
            retryArrivals.push_back(now);
        while (!firstArrivals.empty() && firstArrivals.front() < now - options.window)
            firstArrivals.pop_front();
        while (!retryArrivals.empty() && retryArrivals.front() < now - options.window)
            retryArrivals.pop_front();
        const double bound
            = options.retryRatio * static_cast<double>(firstArrivals.size()) + options.extraRetries;
        BOOST_REQUIRE(static_cast<double>(retryArrivals.size()) <= bound);
    }
}

BOOST_AUTO_TEST_CASE(retriesAreAllowedAgainAfterTheWindow)
{
    ArrivalBudgetOptions options;
    options.retryRatio = 0;
    options.extraRetries = 2;
    options.safetyFactor = 1;
    ArrivalBudget budget;
    const absl::Time now = absl::UnixEpoch();
    BOOST_TEST(tryAcquireRetryArrival(budget, options, 1, now));
    BOOST_TEST(tryAcquireRetryArrival(budget, options, 1, now));
    BOOST_TEST(!tryAcquireRetryArrival(budget, options, 1, now + options.window));
    BOOST_TEST(tryAcquireRetryArrival(budget, options, 1, now + options.window + absl::Milliseconds(1)));
}
