#include "faults.h"

#include "absl/strings/str_cat.h"

#include <array>
#include <csignal>
#include <random>

namespace jackdawwall::soak {
namespace {

/// Troubles in a second, in the mean.
constexpr double kRate = 1.3;
/// One moment in so many has a second trouble right after the first.
constexpr std::uint64_t kSeriesShare = 3;
constexpr absl::Duration kFirst = absl::Milliseconds(1200);
/// Left at the end, so that planned stops and bounds come to their end.
constexpr absl::Duration kLast = absl::Milliseconds(1500);
constexpr absl::Duration kTargetDrain = absl::Milliseconds(2600);

class Faults {
public:
    Faults(relay::asio::io_context& loop, Fleet& fleet, std::uint64_t seed);

    /// Plans troubles over `time`; each is logged when it happens.
    void plan(absl::Duration time);
    const std::vector<std::string>& log() const { return log_; }

private:
    void at(absl::Duration when, std::function<void()> what);
    void strike();
    double share(double least, double most);
    absl::Duration between(int leastMs, int mostMs);

    void kill(Member& member);
    void pause(Member& member);
    void stopPlanned(Member& member);
    void disturbLink(Member& member);
    void disturbStore(Member& member);
    void disturbTarget(Member& member);
    void misbehave(Member& member);
    void killMany(Member& member);
    void reload(Member& member) { member.process->signal(SIGHUP); }
    void configure(Member& /*member*/) { fleet_.configure(); }

    relay::asio::io_context& loop_;
    Fleet& fleet_;
    std::mt19937_64 random_;
    absl::Time startedAt_;
    std::vector<std::string> log_;
};

Faults::Faults(relay::asio::io_context& loop, Fleet& fleet, std::uint64_t seed)
    : loop_(loop)
    , fleet_(fleet)
    , random_(seed)
    , startedAt_(relay::steadyNow())
{
}

double Faults::share(double least, double most)
{
    return std::uniform_real_distribution<>(least, most)(random_);
}

absl::Duration Faults::between(int leastMs, int mostMs)
{
    return absl::Milliseconds(std::uniform_int_distribution<>(leastMs, mostMs)(random_));
}

void Faults::at(absl::Duration when, std::function<void()> what)
{
    auto timer = std::make_shared<relay::asio::steady_timer>(loop_, absl::ToChronoMicroseconds(when));
    timer->async_wait([timer, what = std::move(what)](relay::beast::error_code error) {
        if (!error)
            what();
    });
}

void Faults::plan(absl::Duration time)
{
    absl::Duration when = kFirst;
    while (when < time - kLast) {
        at(when, [this] { strike(); });
        if (random_() % kSeriesShare == 0)
            at(when + between(20, 400), [this] { strike(); });
        when += absl::Seconds(std::exponential_distribution<>(kRate)(random_));
    }
}

void Faults::strike()
{
    using Strike = void (Faults::*)(Member&);
    constexpr std::array<std::pair<const char*, Strike>, 13> kTroubles { { { "kill", &Faults::kill },
        { "pause", &Faults::pause }, { "planned-stop", &Faults::stopPlanned },
        { "planned-stop", &Faults::stopPlanned }, { "reload", &Faults::reload },
        { "link", &Faults::disturbLink }, { "store", &Faults::disturbStore },
        { "target", &Faults::disturbTarget }, { "misdeed", &Faults::misbehave },
        { "misdeed", &Faults::misbehave }, { "misdeed", &Faults::misbehave },
        { "configuration", &Faults::configure }, { "herd", &Faults::killMany } } };
    Member& member = *fleet_.members[random_() % fleet_.members.size()];
    const auto& [name, strike] = kTroubles.at(random_() % kTroubles.size());
    log_.push_back(absl::StrCat("at_ms=", absl::ToInt64Milliseconds(relay::steadyNow() - startedAt_),
        " node=", member.name, " trouble=", name));
    (this->*strike)(member);
}

void Faults::killMany(Member& /*member*/)
{
    for (const auto& each : fleet_.members) {
        if (random_() % 2 == 0)
            kill(*each);
    }
}

void Faults::kill(Member& member)
{
    if (!member.process->isRunning())
        return;
    member.isKillExpected = true;
    member.process->signal(SIGKILL);
    fleet_.disturb(member, absl::Milliseconds(500));
}

void Faults::pause(Member& member)
{
    const absl::Duration time = between(200, 2000);
    fleet_.disturb(member, time);
    member.process->signal(SIGSTOP);
    at(time, [&member] { member.process->signal(SIGCONT); });
}

void Faults::stopPlanned(Member& member)
{
    if (member.stopSentAt != absl::InfiniteFuture() || !member.process->isRunning())
        return;
    member.stopSentAt = relay::steadyNow();
    member.process->signal(SIGTERM);
    // A planned stop excuses nothing but its own restart.
    at(absl::Seconds(5), [this, &member] { fleet_.disturb(member, absl::ZeroDuration()); });
}

void Faults::disturbLink(Member& member)
{
    const auto kind = static_cast<std::size_t>(random_() % kLinkKinds);
    Proxy& link = *member.links.at(kind);
    const absl::Duration time = between(300, 1800);
    fleet_.disturb(member, time);
    if (kind == static_cast<std::size_t>(LinkKind::ToTarget))
        member.linkDisturbedUntil = member.disturbedUntil;
    const std::array<LinkFaults, 4> kinds { LinkFaults { between(30, 250), false, false },
        LinkFaults { {}, true, false }, LinkFaults { {}, false, true }, LinkFaults { {}, true, true } };
    const std::size_t chosen = random_() % (kinds.size() + 1);
    if (chosen == kinds.size()) {
        link.resetAll();
        return;
    }
    link.setFaults(kinds.at(chosen));
    at(time, [&link] { link.setFaults({}); });
}

void Faults::disturbStore(Member& /*member*/)
{
    const absl::Duration time = between(300, 2500);
    Store& store = *fleet_.store;
    fleet_.storeDisturbedUntil
        = std::max(fleet_.storeDisturbedUntil, relay::steadyNow() + time + Bounds {}.recoveryTime);
    const std::array<StoreFaults, 4> kinds { StoreFaults { true, false, {}, 0 },
        StoreFaults { false, true, {}, 0 }, StoreFaults { false, false, between(50, 400), 0 },
        StoreFaults { false, false, {}, share(0.2, 0.8) } };
    const std::size_t chosen = random_() % (kinds.size() + 1);
    if (chosen == kinds.size())
        store.dropHistory();
    else
        store.faults = kinds.at(chosen);
    at(time, [&store] { store.faults = {}; });
}

void Faults::disturbTarget(Member& member)
{
    if (random_() % 3 == 0) {
        member.target->crash(between(200, 1500));
        member.linkDisturbedUntil
            = std::max(member.linkDisturbedUntil, relay::steadyNow() + Bounds {}.recoveryTime);
    } else {
        member.target->leave(random_() % 3 == 0, kTargetDrain);
    }
}

void Faults::misbehave(Member& member)
{
    constexpr std::array kTargetFaults { TargetFault::LoseResponse, TargetFault::TruncateResponse,
        TargetFault::DuplicateResponse, TargetFault::CloseDelimitedResponse, TargetFault::Refuse,
        TargetFault::Hang, TargetFault::Slow };
    const TargetFault fault = kTargetFaults.at(random_() % kTargetFaults.size());
    const bool isWholeService = random_() % 2 == 0;
    const absl::Duration time = between(400, 2500);
    for (const auto& each : fleet_.members) {
        if (each.get() != &member && (!isWholeService || each->service != member.service))
            continue;
        Target& target = *each->target;
        target.setFault(fault, share(0.1, 0.8));
        at(time, [&target] { target.setFault(TargetFault::None, 0); });
    }
}

} // namespace

std::shared_ptr<const std::vector<std::string>> scheduleFaults(
    relay::asio::io_context& loop, Fleet& fleet, std::uint64_t seed, absl::Duration time)
{
    const auto faults = std::make_shared<Faults>(loop, fleet, seed);
    faults->plan(time);
    return { faults, &faults->log() };
}

} // namespace jackdawwall::soak
