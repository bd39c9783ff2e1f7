// Tests of the shared rate limit in virtual time: by load, by failure, and with random faults.
#include "test/lease-simulation.h"
#include "test/table.h"

#include <cstdlib>
#include <iostream>

namespace jackdawwall {
namespace {

using test::kStart;
using test::LeaseSimulation;
using test::SimulationOptions;

/// Requests admitted by a single bucket that sees all arrivals, as upper bound of what is below the limit.
double belowLimit(const TokenLimit& limit, double arrivals, double seconds)
{
    return std::min(arrivals, limit.callsPerSecond * seconds + limit.burst);
}

struct LoadRow {
    const char* name;
    double rate; ///< Of the limit; the burst is the same.
    double usual; ///< Demand over all nodes, as share of the rate.
    double hot; ///< The same while the customer is hot.
    int hotNodes; ///< Nodes with the additional demand; 0: all.
    bool isMoving; ///< The additional demand moves to other nodes each second.
    double least; ///< Share of what is below the limit that has to be admitted.
};

/// Runs 5 s of usual demand, 6 s of hot demand and 4 s of usual demand.
void checkLoad(const LoadRow& row)
{
    SimulationOptions options;
    options.limit = { row.rate, row.rate };
    LeaseSimulation simulation(options);
    const auto nodes = static_cast<int>(options.nodes);
    for (int node = 0; node < nodes; ++node)
        simulation.load(
            static_cast<std::size_t>(node), row.rate * row.usual / nodes, kStart, kStart + absl::Seconds(15));
    const int hotNodes = row.hotNodes == 0 ? nodes : row.hotNodes;
    const double extra = row.rate * (row.hot - row.usual) / hotNodes;
    for (int second = 0; second < 6; ++second) {
        for (int node = 0; node < hotNodes; ++node) {
            const int index = (node + (row.isMoving ? second * hotNodes : 0)) % nodes;
            const absl::Time begin = kStart + absl::Seconds(5 + second);
            simulation.load(static_cast<std::size_t>(index), extra, begin, begin + absl::Seconds(1));
        }
    }
    simulation.runUntil(kStart + absl::Seconds(5));
    const std::size_t usualStarts = simulation.starts().size();
    const std::size_t usualArrivals = simulation.arrivals();
    BOOST_TEST(usualStarts >= row.least * belowLimit(options.limit, simulation.arrivals(), 5));
    simulation.runUntil(kStart + absl::Seconds(11));
    const std::size_t hotStarts = simulation.starts().size() - usualStarts;
    const double hotBound
        = belowLimit(options.limit, static_cast<double>(simulation.arrivals() - usualArrivals), 6);
    BOOST_TEST(hotStarts >= row.least * hotBound);
    simulation.runUntil(kStart + absl::Seconds(16));
    BOOST_TEST(test::mostInWindow(simulation.starts()) <= test::permittedInWindow(options.limit));
    BOOST_TEST(simulation.unknown() == 0U);
    if (std::getenv("JACKDAWWALL_PRINT") != nullptr)
        std::cout << row.name << ": usual " << usualStarts << " hot " << hotStarts << " of " << hotBound
                  << " total " << simulation.starts().size() << " arrivals " << simulation.arrivals()
                  << " window " << test::mostInWindow(simulation.starts()) << " permitted "
                  << test::permittedInWindow(options.limit) << " messages/s "
                  << static_cast<double>(simulation.messages()) / 15 << "\n";
}

constexpr double kUsual = 1 / 1.6;

BOOST_AUTO_TEST_CASE(admitsWhatIsBelowTheLimitWithoutFaults)
{
    const std::vector<LoadRow> table {
        { "small customer, steady", 5.6, kUsual, kUsual, 0, false, 0.9 },
        { "small customer, hot everywhere", 5.6, kUsual, 4.7, 0, false, 0.9 },
        { "small customer, hot at one node", 5.6, kUsual, 4.7, 1, false, 0.9 },
        { "medium customer, steady", 64, kUsual, kUsual, 0, false, 0.95 },
        { "medium customer, hot everywhere", 64, kUsual, 4.7, 0, false, 0.9 },
        { "large customer, steady", 1120, kUsual, kUsual, 0, false, 0.99 },
        { "large customer, hot everywhere", 1120, kUsual, 4.7, 0, false, 0.9 },
        { "large customer, hot at one node", 1120, kUsual, 4.7, 1, false, 0.9 },
        { "large customer, hot and moving", 1120, kUsual, 4.7, 3, true, 0.9 },
        { "large customer, just below the limit", 1120, 0.9, 0.9, 0, false, 0.9 },
    };
    test::forEachRow(table, checkLoad);
}

void checkWindow(const LeaseSimulation& simulation, const TokenLimit& limit)
{
    BOOST_TEST(test::mostInWindow(simulation.starts()) <= test::permittedInWindow(limit));
}

struct FailureRow {
    const char* name;
    double demand; ///< Over all nodes, as share of the rate.
    std::function<void(LeaseSimulation&)> fail; ///< Called after 6 s of 20 s.
    double leastAdmitted; ///< Share of what is below the limit, over the 20 s.
};

constexpr std::size_t kFailureNodes = 24;

void splitAt(LeaseSimulation& simulation, std::size_t size)
{
    for (std::size_t node = 0; node < size; ++node)
        simulation.setPart(node, 1);
}

void splitFor(LeaseSimulation& simulation, std::size_t size, absl::Duration time)
{
    splitAt(simulation, size);
    simulation.at(simulation.now() + time, [&simulation, size] {
        for (std::size_t node = 0; node < size; ++node)
            simulation.setPart(node, 0);
    });
}

BOOST_AUTO_TEST_CASE(keepsTheLimitThroughFailures)
{
    using Simulation = LeaseSimulation;
    const std::vector<FailureRow> table {
        { "coordinator restarts", 4, [](Simulation& s) { s.restart(s.coordinator(), absl::Seconds(1)); },
            0.7 },
        { "coordinator restarts, usual demand", kUsual,
            [](Simulation& s) { s.restart(s.coordinator(), absl::Seconds(1)); }, 0.85 },
        { "coordinator ends", 4, [](Simulation& s) { s.restart(s.coordinator(), absl::Seconds(60)); }, 0.7 },
        { "coordinator ends, usual demand", kUsual,
            [](Simulation& s) { s.restart(s.coordinator(), absl::Seconds(60)); }, 0.75 },
        { "coordinator pauses shortly", 4,
            [](Simulation& s) { s.pause(s.coordinator(), absl::Milliseconds(400)); }, 0.8 },
        { "coordinator pauses", 4, [](Simulation& s) { s.pause(s.coordinator(), absl::Seconds(5)); }, 0.65 },
        { "deputy pauses", 4, [](Simulation& s) { s.pause(s.coordinator(true), absl::Seconds(5)); }, 0.9 },
        { "coordinator and deputy pause", 4,
            [](Simulation& s) {
                s.pause(s.coordinator(), absl::Seconds(5));
                s.pause(s.coordinator(true), absl::Seconds(5));
            },
            0.6 },
        { "holder pauses", 4, [](Simulation& s) { s.pause(1, absl::Seconds(3)); }, 0.9 },
        { "coordinator cut off", 4, [](Simulation& s) { s.setPart(s.coordinator(), 1); }, 0.6 },
        { "coordinator cut off for a while", 4,
            [](Simulation& s) {
                const std::size_t node = s.coordinator();
                s.setPart(node, 1);
                s.at(s.now() + absl::Seconds(6), [&s, node] { s.setPart(node, 0); });
            },
            0.6 },
        { "third cut off", 4, [](Simulation& s) { splitAt(s, kFailureNodes / 3); }, 0.6 },
        { "halves", 4, [](Simulation& s) { splitAt(s, kFailureNodes / 2); }, 0.6 },
        { "halves for a while", 4, [](Simulation& s) { splitFor(s, kFailureNodes / 2, absl::Seconds(6)); },
            0.6 },
        { "third cut off, usual demand", kUsual, [](Simulation& s) { splitAt(s, kFailureNodes / 3); }, 0.75 },
        { "lower limit", 4,
            [](Simulation& s) {
                s.setLimit({ 60, 60 });
            },
            0 },
    };
    test::forEachRow(table, [](const FailureRow& row) {
        SimulationOptions options;
        options.nodes = kFailureNodes;
        options.limit = { 200, 200 };
        LeaseSimulation simulation(options);
        for (std::size_t node = 0; node < options.nodes; ++node)
            simulation.load(node, 200 * row.demand / kFailureNodes, kStart, kStart + absl::Seconds(20));
        simulation.at(kStart + absl::Seconds(6), [&] { row.fail(simulation); });
        simulation.runUntil(kStart + absl::Seconds(21));
        checkWindow(simulation, options.limit);
        const double bound = belowLimit(options.limit, static_cast<double>(simulation.arrivals()), 20);
        BOOST_TEST(simulation.starts().size() >= row.leastAdmitted * bound);
        if (row.leastAdmitted == 0) { // One window after a lower limit, it holds.
            std::vector<absl::Time> later;
            for (const absl::Time start : simulation.starts()) {
                if (start >= kStart + absl::Seconds(6) + absl::Milliseconds(300))
                    later.push_back(start);
            }
            BOOST_TEST(test::mostInWindow(later) <= test::permittedInWindow({ 60, 60 }));
        }
        if (std::getenv("JACKDAWWALL_PRINT") != nullptr)
            std::cout << row.name << ": admitted " << simulation.starts().size() << " of " << bound
                      << " unknown " << simulation.unknown() << " window "
                      << test::mostInWindow(simulation.starts()) << " permitted "
                      << test::permittedInWindow(options.limit) << "\n";
    });
}

/// Random faults: losses, delays, pauses, restarts and partitions, one or several at a time.
void addRandomFaults(LeaseSimulation& simulation, std::size_t nodes)
{
    absl::Time time = kStart + absl::Seconds(3);
    while (time < kStart + absl::Seconds(25)) {
        time += absl::Seconds(3 * simulation.uniform());
        const double kind = simulation.uniform();
        const absl::Duration length = absl::Seconds(0.1 + 5 * simulation.uniform() * simulation.uniform());
        // Half of the faults concern the coordinator or the deputy.
        const double choice = simulation.uniform();
        const std::size_t node = choice < 0.35 ? simulation.coordinator()
            : choice < 0.5                     ? simulation.coordinator(true)
                           : static_cast<std::size_t>(simulation.uniform() * static_cast<double>(nodes));
        simulation.at(time, [&simulation, kind, length, node, nodes] {
            if (kind < 0.35)
                simulation.pause(node, length);
            else if (kind < 0.65)
                simulation.restart(node, length);
            else if (kind < 0.85)
                splitFor(simulation,
                    static_cast<std::size_t>(simulation.uniform() * static_cast<double>(nodes)), length);
            else {
                simulation.setPart(node, 2);
                simulation.at(
                    simulation.now() + length, [&simulation, node] { simulation.setPart(node, 0); });
            }
        });
    }
}

/// Guards the bound itself: no order of messages, losses, pauses, restarts and partitions may exceed it.
BOOST_AUTO_TEST_CASE(keepsTheLimitThroughRandomFaults)
{
    const char* seeds = std::getenv("JACKDAWWALL_SEEDS");
    const int last = seeds == nullptr ? 60 : std::atoi(seeds);
    double worst = 0;
    for (int seed = 1; seed <= last; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(static_cast<std::uint64_t>(seed));
            const auto pick
                = [&](const std::vector<double>& values) { return values[random() % values.size()]; };
            SimulationOptions options;
            options.seed = static_cast<std::uint64_t>(seed);
            options.nodes = static_cast<std::size_t>(pick({ 3, 5, 8, 16, 24 }));
            const double rate = pick({ 2, 6, 30, 150, 500 });
            options.limit = { rate, rate * pick({ 0.2, 1, 1, 2 }) };
            options.limit.slack = seed % 2 == 0 ? 20 : 0;
            options.loss = pick({ 0, 0, 0.01, 0.1 });
            options.maxDelay = absl::Milliseconds(pick({ 2, 10, 60, 200 }));
            LeaseSimulation simulation(options);
            // Quiet periods let the bucket fill, so that a fault meets a full burst.
            for (absl::Time time = kStart; time < kStart + absl::Seconds(30);) {
                const absl::Time end = time + absl::Seconds(1 + 5 * simulation.uniform());
                const double demand = rate * pick({ 0.05, kUsual, 1.2, 4, 12 });
                const std::size_t nodes
                    = simulation.uniform() < 0.3 ? std::min<std::size_t>(2, options.nodes) : options.nodes;
                for (std::size_t node = 0; node < nodes; ++node)
                    simulation.load(node, demand / static_cast<double>(nodes), time, end);
                time = end;
            }
            addRandomFaults(simulation, options.nodes);
            simulation.runUntil(kStart + absl::Seconds(32));
            checkWindow(simulation, options.limit);
            const double share = static_cast<double>(test::mostInWindow(simulation.starts()))
                / test::permittedInWindow(options.limit);
            worst = std::max(worst, share);
            if (std::getenv("JACKDAWWALL_PRINT") != nullptr && share > 0.9)
                std::cout << "seed " << seed << " nodes " << options.nodes << " rate " << rate << " burst "
                          << options.limit.burst << " loss " << options.loss << " delay " << options.maxDelay
                          << " window " << test::mostInWindow(simulation.starts()) << " permitted "
                          << test::permittedInWindow(options.limit) << "\n";
        }
    }
    std::cout << "worst share of the permitted window: " << worst << "\n";
}

/// One coordinator without a network, for the rules of single messages.
struct Coordinator {
    Coordinator() { state.tickedAt = kStart; }
    LeaseReply ask(const LeaseRequest& request, absl::Time time)
    {
        tickCoordinator(state, {}, time);
        return grantTokens(state, "acme", { 10, 20 }, { CoordinatorRole::First, "a" }, request, time);
    }
    double total() const { return state.customers.at("acme").level + state.customers.at("acme").leased; }

    CoordinatorState state = makeCoordinator(7, kStart - absl::Hours(1));
};

LeaseRequest makeRequest(
    std::uint64_t number, std::uint64_t lastGrant, std::uint32_t waiting, std::uint32_t held)
{
    return { "n1", 1, number, 7, lastGrant, waiting, held };
}

struct MessageRow {
    const char* name;
    LeaseRequest second; ///< Follows a grant of 8 tokens with number 1.
    std::uint32_t tokens; ///< Granted by the second request.
    double total; ///< Level and leased tokens after it.
};

/// Guards against tokens that are counted twice or lost when messages are lost, repeated or late.
BOOST_AUTO_TEST_CASE(accountsForLostAndRepeatedMessages)
{
    const std::vector<MessageRow> table { { "all used", makeRequest(2, 1, 4, 0), 4, 12 },
        { "some held", makeRequest(2, 1, 4, 3), 1, 15 }, { "reply lost", makeRequest(2, 0, 4, 0), 4, 20 },
        { "repeated", makeRequest(1, 0, 8, 0), 8, 20 }, { "late", makeRequest(0, 0, 8, 0), 0, 20 },
        { "more held than granted", makeRequest(2, 1, 20, 100), 12, 20 } };
    test::forEachRow(table, [](const MessageRow& row) {
        Coordinator coordinator;
        BOOST_TEST(coordinator.ask(makeRequest(1, 0, 8, 0), kStart).tokens == 8U);
        BOOST_TEST(coordinator.ask(row.second, kStart).tokens == row.tokens);
        BOOST_TEST(std::abs(coordinator.total() - row.total) < 1e-9);
    });
}

/// Guards against a late reply that adds tokens which the coordinator has taken back.
BOOST_AUTO_TEST_CASE(ignoresLateReplies)
{
    HeldTokens held;
    BOOST_TEST((acquireToken(held, kStart).result == AcquireResult::Waiting));
    const LeaseRequest first = startLeaseRequest(held, kStart);
    cancelLeaseRequest(held, first.number);
    const LeaseRequest second = startLeaseRequest(held, kStart);
    LeaseReply reply { LeaseStatus::Answered, "", 7, 1, 3, false, absl::Seconds(1), {} };
    BOOST_TEST(applyLeaseReply(held, first.number, reply, kStart).taken == 0U);
    BOOST_TEST(applyLeaseReply(held, second.number, reply, kStart).taken == 1U);
    BOOST_TEST(usableTokens(held, kStart) == 2U);
    // The expiry counts from the request.
    BOOST_TEST(usableTokens(held, kStart + absl::Seconds(1)) == 0U);
}

/// Guards against tokens that are used again after they were reported as used.
BOOST_AUTO_TEST_CASE(returnsTokensOnlyWithinTheirLease)
{
    HeldTokens held;
    acquireToken(held, kStart);
    const LeaseRequest request = startLeaseRequest(held, kStart);
    LeaseReply reply { LeaseStatus::Answered, "", 7, 1, 2, false, absl::Seconds(1), {} };
    const WaitersDecision decision = applyLeaseReply(held, request.number, reply, kStart);
    BOOST_TEST(returnToken(held, decision.period, kStart));
    BOOST_TEST(usableTokens(held, kStart) == 2U);
    BOOST_TEST(!returnToken(held, decision.period, kStart + absl::Seconds(1)));
    startLeaseRequest(held, kStart);
    BOOST_TEST(!returnToken(held, decision.period, kStart));
}

} // namespace
} // namespace jackdawwall
