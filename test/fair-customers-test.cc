// Fairness between customers at one overloaded target. Each load guards against a customer that starves
// others or is starved: by its demand, the number of customers, long calls, retries, or the class of the
// others.
#include "adapter/metrics.h"
#include "test/customer-loads.h"
#include "test/table.h"

#include <numeric>

namespace jackdawwall {
namespace {

using test::CallForm;
using test::CustomerResult;
using test::Load;
using test::LoadCustomer;
using test::LoadResult;

const absl::Time kStart = absl::FromUnixSeconds(1000);

double servedWork(const LoadResult& result)
{
    return std::accumulate(result.customers.begin(), result.customers.end(), 0.0,
        [](double sum, const CustomerResult& customer) { return sum + customer.servedWork; });
}

double offeredWork(const LoadResult& result)
{
    return std::accumulate(result.customers.begin(), result.customers.end(), 0.0,
        [](double sum, const CustomerResult& customer) { return sum + customer.offeredWork; });
}

/// Work that the customers of one class get at `level` per unit of weight.
double workAtLevel(const Load& load, const LoadResult& result, Priority priority, double level)
{
    double sum = 0;
    for (std::size_t index = 0; index < load.customers.size(); ++index) {
        if (load.customers[index].priority == priority)
            sum += std::min(result.customers[index].offeredWork, level * load.customers[index].weight);
    }
    return sum;
}

/// Max-min fair division of the served work: class by class, by weight inside a class.
std::vector<double> fairWork(const Load& load, const LoadResult& result)
{
    std::vector<double> fair(load.customers.size());
    double budget = servedWork(result);
    for (std::size_t index = 0; index < kPriorityCount; ++index) {
        const auto priority = static_cast<Priority>(index);
        double low = 0;
        double high = 1e6;
        for (int step = 0; step < 100; ++step) {
            const double middle = (low + high) / 2;
            (workAtLevel(load, result, priority, middle) < budget ? low : high) = middle;
        }
        for (std::size_t customer = 0; customer < load.customers.size(); ++customer) {
            if (load.customers[customer].priority == priority)
                fair[customer] = std::min(
                    result.customers[customer].offeredWork, high * load.customers[customer].weight);
        }
        budget = std::max(0.0, budget - workAtLevel(load, result, priority, high));
    }
    return fair;
}

/// Two standard deviations of the number of calls that arrive, as work, and 5%.
double arrivalNoise(const LoadCustomer& customer, double fair)
{
    return 0.05 * fair + 2 * std::sqrt(fair * customer.callSeconds);
}

/// Served over fair work of the tenth of the customers for which it is least.
double worstTenth(const LoadResult& result, const std::vector<double>& fair)
{
    std::vector<std::pair<double, std::size_t>> ratios;
    for (std::size_t index = 0; index < fair.size(); ++index) {
        if (fair[index] > 0)
            ratios.emplace_back(result.customers[index].servedWork / fair[index], index);
    }
    std::sort(ratios.begin(), ratios.end());
    ratios.resize(std::max<std::size_t>(1, ratios.size() / 10));
    double served = 0;
    double due = 0;
    for (const auto& [ratio, index] : ratios) {
        served += result.customers[index].servedWork;
        due += fair[index];
    }
    return served / due;
}

struct LoadRow {
    const char* name;
    Load load;
};

std::vector<LoadRow> overloads()
{
    return {
        { "one of 84 customers has 7.5 times its usual demand", test::hotCustomer() },
        { "400 small customers and a large one", test::manySmallCustomers() },
        { "a customer whose calls take 20 times as long", test::longCalls() },
        { "the same, all of one kind", test::longCallsOfSameKind() },
        { "half of the customers have long calls", test::longCallsOfHalf() },
        { "a customer that retries at once", test::immediateRetries() },
        { "two classes", test::twoClasses() },
        { "weights 3 and 1", test::weights() },
    };
}

BOOST_AUTO_TEST_CASE(dividesAnOverloadedTargetFairly)
{
    test::forEachRow(overloads(), [](const LoadRow& row) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            Load load = row.load;
            load.seed = seed;
            const LoadResult result = test::playLoad(load, CallForm::Customer);
            const std::vector<double> fair = fairWork(load, result);
            const double share = servedWork(result) / offeredWork(result);
            for (std::size_t index = 0; index < fair.size(); ++index) {
                BOOST_TEST_CONTEXT("seed " << seed << ", " << load.customers[index].name)
                {
                    const CustomerResult& customer = result.customers[index];
                    const double noise = arrivalNoise(load.customers[index], fair[index]);
                    BOOST_TEST(std::abs(customer.servedWork - fair[index]) <= noise);
                    BOOST_TEST(customer.servedWork >= 0.25 * share * customer.offeredWork);
                }
            }
            BOOST_TEST(worstTenth(result, fair) >= 0.8);
        }
    });
}

// A queue that refuses more than it has to would be fair and waste the target.
BOOST_AUTO_TEST_CASE(servesAsMuchWorkAsWithoutCustomers)
{
    test::forEachRow(overloads(), [](const LoadRow& row) {
        const LoadResult result = test::playLoad(row.load, CallForm::Customer);
        const LoadResult reference = test::playLoad(row.load, CallForm::Service);
        BOOST_TEST(servedWork(result) >= 0.99 * servedWork(reference));
        BOOST_TEST(result.late <= reference.late);
        BOOST_TEST(static_cast<double>(result.maximumWaiting)
            <= 1.2 * static_cast<double>(reference.maximumWaiting));
    });
}

BOOST_AUTO_TEST_CASE(servesTheMoreUrgentClassFirst)
{
    const Load load = test::twoClasses();
    const LoadResult result = test::playLoad(load, CallForm::Customer);
    for (std::size_t index = 0; index < load.customers.size(); ++index) {
        if (load.customers[index].priority == Priority::Critical)
            BOOST_TEST(result.customers[index].served >= 0.99 * result.customers[index].offered);
    }
}

// Deployments without customers must not notice the change: the same decisions in the same order as for calls
// that lack the new fields, and none of the state of customers.
BOOST_AUTO_TEST_CASE(decidesAsBeforeWithoutCustomers)
{
    test::forEachRow(overloads(), [](const LoadRow& row) {
        const LoadResult service = test::playLoad(row.load, CallForm::Service);
        BOOST_TEST(service.digest == test::playLoad(row.load, CallForm::Plain).digest);
        BOOST_TEST(service.digest != test::playLoad(row.load, CallForm::Customer).digest);
        BOOST_TEST(!service.state.hasCustomers);
        for (const ClassQueue& queue : service.state.classQueues)
            BOOST_TEST(queue.customers.empty());
    });
}

BOOST_AUTO_TEST_CASE(keepsNoStateOfCustomersThatAreGone)
{
    const LoadResult result = test::playLoad(test::manySmallCustomers(), CallForm::Customer);
    BOOST_TEST(result.state.hasCustomers);
    for (const ClassQueue& queue : result.state.classQueues) {
        BOOST_TEST(queue.customers.empty());
        BOOST_TEST(queue.byLoad.empty());
        BOOST_TEST(queue.longCustomers == 0U);
        BOOST_TEST(queue.seconds == 0);
    }
}

OfferedCall call(CallId id, std::uint64_t customer, Priority priority = Priority::Browse)
{
    OfferedCall result;
    result.id = id;
    result.priority = priority;
    result.caller = customer;
    result.hasCustomer = customer != 0;
    result.cost = costKey("read", 0);
    return result;
}

/// One call runs; customer 1 has filled the queue of its class. Returns the id of the last accepted call.
CallId fillQueue(AdmissionState& state)
{
    AdmissionOptions options;
    options.limit.initial = 1;
    state = makeAdmissionState(options);
    state.meanTime = 0.005;
    CallId id = 0;
    while (offerCall(state, call(++id, 1), kStart).verdict != Verdict::Refuse)
        BOOST_REQUIRE_LT(id, 1000U);
    return id - 1;
}

struct FullRow {
    const char* name;
    OfferedCall offered;
    Verdict verdict;
    bool displacesNewest;
};

BOOST_AUTO_TEST_CASE(refusesCallsOfTheCustomerWithMostWaitingWork)
{
    const std::vector<FullRow> table {
        { "another customer", call(2000, 2), Verdict::Wait, true },
        { "a calling service", call(2000, 0), Verdict::Wait, true },
        { "the same customer", call(2000, 1), Verdict::Refuse, false },
        { "more urgent", call(2000, 1, Priority::Critical), Verdict::Wait, false },
        { "less urgent, behind a full class", call(2000, 2, Priority::Bulk), Verdict::Refuse, false },
    };
    test::forEachRow(table, [](const FullRow& row) {
        AdmissionState state;
        const CallId newest = fillQueue(state);
        const Decision decision = offerCall(state, row.offered, kStart);
        BOOST_TEST((decision.verdict == row.verdict));
        BOOST_TEST(decision.refused.size() == (row.displacesNewest ? 1U : 0U));
        for (const RefusedCall& refused : decision.refused) {
            BOOST_TEST(refused.id == newest);
            BOOST_TEST((refused.reason == Reason::Overload));
            BOOST_TEST(!state.waiting.contains(refused.id));
        }
    });
}

BOOST_AUTO_TEST_CASE(startsNoCallThatCannotEndInTime)
{
    AdmissionState state;
    fillQueue(state);
    OfferedCall urgent = call(2000, 2, Priority::Critical);
    urgent.deadline = kStart + absl::Milliseconds(7);
    BOOST_REQUIRE((offerCall(state, urgent, kStart).verdict == Verdict::Wait));
    const QueueUpdate update = finishCall(state, 1, RunResult::Aborted, {}, kStart + absl::Milliseconds(4));
    BOOST_REQUIRE_EQUAL(update.refused.size(), 1U);
    BOOST_TEST(update.refused.front().id == urgent.id);
    BOOST_TEST((update.refused.front().reason == Reason::Deadline));
    BOOST_REQUIRE_EQUAL(update.started.size(), 1U);
    BOOST_TEST(update.started.front() == 2U);
}

// Many customers must not make the metrics of a node grow without limit.
BOOST_AUTO_TEST_CASE(exposesTheCustomersWithMostRefusals)
{
    Metrics metrics;
    for (int customer = 0; customer < 2000; ++customer) {
        for (int count = 0; count <= customer % 1000; ++count)
            metrics.countCustomerOffer(absl::StrCat("c", customer), true);
    }
    const std::string text = metrics.expose("");
    std::size_t lines = 0;
    for (std::size_t at = 0; (at = text.find("\njackdaw_customer_offers{", at)) != std::string::npos; ++at)
        ++lines;
    BOOST_TEST(lines == 2 * (Metrics::kExposedCustomers + 1));
    BOOST_TEST(text.find("{customer=\"c999\",decision=\"refused\"} 1000\n") != std::string::npos);
    BOOST_TEST(text.find("rest=\"other\",decision=\"refused\"} 991045\n") != std::string::npos);
    BOOST_TEST(Metrics().expose("").find("jackdaw_customer") == std::string::npos);
}

} // namespace
} // namespace jackdawwall
