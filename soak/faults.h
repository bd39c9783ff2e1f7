/// Troubles by a seed: at random moments, in series and overlapping, from outside the processes.
#pragma once

#include "fleet.h"

#include <random>

namespace jackdawwall::soak {

class Faults {
public:
    Faults(relay::asio::io_context& loop, Fleet& fleet, std::uint64_t seed);

    /// Plans troubles over `time`; each is logged when it happens.
    void plan(absl::Duration time);
    const std::vector<std::string>& log() const { return log_; }

private:
    void at(absl::Duration when, std::function<void()> what);
    void strike();
    Member& anyMember();
    double share(double least, double most);
    absl::Duration between(int leastMs, int mostMs);

    void kill(Member& member);
    void pause(Member& member);
    void stopPlanned(Member& member);
    void disturbLink(Member& member);
    void disturbStore();
    void disturbTarget(Member& member);
    void misbehave(Member& member);

    relay::asio::io_context& loop_;
    Fleet& fleet_;
    std::mt19937_64 random_;
    absl::Time startedAt_;
    std::vector<std::string> log_;
};

} // namespace jackdawwall::soak
