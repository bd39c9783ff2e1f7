#include "faults.h"

#include "absl/strings/str_cat.h"

#include <csignal>

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

} // namespace

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

Member& Faults::anyMember()
{
    return *fleet_.members[random_() % fleet_.members.size()];
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
    Member& member = anyMember();
    const auto note = [&](absl::string_view what) {
        log_.push_back(absl::StrCat("at_ms=", absl::ToInt64Milliseconds(relay::steadyNow() - startedAt_),
            " node=", member.name, " trouble=", what));
    };
    switch (random_() % 13) {
    case 0:
        note("kill");
        kill(member);
        break;
    case 1:
        note("pause");
        pause(member);
        break;
    case 2:
    case 3:
        note("planned-stop");
        stopPlanned(member);
        break;
    case 4:
        note("reload");
        member.process->signal(SIGHUP);
        break;
    case 5:
        note("link");
        disturbLink(member);
        break;
    case 6:
        note("store");
        disturbStore();
        break;
    case 7:
        note("target");
        disturbTarget(member);
        break;
    case 8:
    case 11:
    case 12:
        note("misdeed");
        misbehave(member);
        break;
    case 9:
        note("configuration");
        fleet_.configure();
        break;
    default:
        note("herd");
        for (const auto& each : fleet_.members) {
            if (random_() % 2 == 0)
                kill(*each);
        }
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
    LinkFaults faults;
    switch (random_() % 5) {
    case 0:
        link.resetAll();
        return;
    case 1:
        faults.delay = between(30, 250);
        break;
    case 2:
        faults.holdsForward = true;
        break;
    case 3:
        faults.holdsBack = true;
        break;
    default:
        faults.holdsForward = true;
        faults.holdsBack = true;
    }
    link.setFaults(faults);
    at(time, [&link] { link.setFaults({}); });
}

void Faults::disturbStore()
{
    const absl::Duration time = between(300, 2500);
    Store& store = *fleet_.store;
    fleet_.storeDisturbedUntil
        = std::max(fleet_.storeDisturbedUntil, relay::steadyNow() + time + Bounds {}.stable);
    StoreFaults faults;
    switch (random_() % 5) {
    case 0:
        faults.isDown = true;
        break;
    case 1:
        faults.isSilent = true;
        break;
    case 2:
        faults.delay = between(50, 400);
        break;
    case 3:
        faults.lostShare = share(0.2, 0.8);
        break;
    default:
        store.dropHistory();
    }
    store.faults = faults;
    at(time, [&store] { store.faults = {}; });
}

void Faults::disturbTarget(Member& member)
{
    if (random_() % 3 == 0) {
        member.target->crash(between(200, 1500));
        member.linkDisturbedUntil
            = std::max(member.linkDisturbedUntil, relay::steadyNow() + Bounds {}.stable);
    } else {
        member.target->leave(random_() % 3 == 0, kTargetDrain);
    }
}

void Faults::misbehave(Member& member)
{
    constexpr std::array kMisdeeds { Misdeed::LoseAnswer, Misdeed::CutAnswer, Misdeed::SecondAnswer,
        Misdeed::Unframed, Misdeed::Refuse, Misdeed::Hang, Misdeed::Slow };
    const Misdeed misdeed = kMisdeeds.at(random_() % kMisdeeds.size());
    const bool isWholeService = random_() % 2 == 0;
    const absl::Duration time = between(400, 2500);
    for (const auto& each : fleet_.members) {
        if (each.get() != &member && (!isWholeService || each->service != member.service))
            continue;
        Target& target = *each->target;
        target.setMisdeed(misdeed, share(0.1, 0.8));
        at(time, [&target] { target.setMisdeed(Misdeed::None, 0); });
    }
}

} // namespace jackdawwall::soak
