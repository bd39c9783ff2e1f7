/// Bounds of a trial of the choice of targets.
#pragma once

#include "test/balance-model.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iostream>

namespace jackdawwall::test {

/// The bounds follow from the target: learned weights come near the best static ones, are no worse than the
/// default choice, and leave the data centre only for what exceeds its capacity.
inline void checkBounds(const char* name, const Load& load, std::uint64_t seed)
{
    constexpr double kShareOfBest = 0.95;
    constexpr double kNoise = 0.005; ///< Of a share of some 20,000 calls.
    constexpr double kMaximumRemoteExcess = 0.05;
    const Result bySpeed = Model(load, Policy::Speed, seed).run();
    const Result byLatency = Model(load, Policy::Latency, seed).run();
    const Result local = Model(load, Policy::StaticLocal, seed).run();
    const Result all = Model(load, Policy::StaticAll, seed).run();
    std::cout << name << ", seed " << seed << ": served in time " << bySpeed.served << " (default "
              << byLatency.served << ", static local " << local.served << ", static all " << all.served
              << "), remote " << bySpeed.remote << " (default " << byLatency.remote << ", excess "
              << bySpeed.excess << ")\n";
    BOOST_TEST(bySpeed.served >= kShareOfBest * std::max(local.served, all.served));
    BOOST_TEST(bySpeed.served >= byLatency.served - kNoise);
    BOOST_TEST(bySpeed.remote <= bySpeed.excess + kMaximumRemoteExcess);
}

} // namespace jackdawwall::test
