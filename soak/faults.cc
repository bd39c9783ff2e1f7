#include "faults.h"

#include "wire-names.h"

#include "absl/algorithm/container.h"
#include "absl/strings/str_cat.h"

#include <boost/asio/write.hpp>

#include <array>
#include <csignal>
#include <random>
#include <stdexcept>

namespace jackdawwall::soak {
namespace {

/// Mean rate; times between faults are exponentially distributed.
constexpr double kFaultsPerSecond = 1.3;
/// One fault in this many is followed closely by a second one.
constexpr std::uint64_t kSeriesOneIn = 3;
constexpr absl::Duration kFirstFaultDelay = absl::Milliseconds(1200);
/// No series of faults starts in this last part, so that planned stops can finish and time limits expire.
constexpr absl::Duration kFaultFreeEnd = absl::Milliseconds(1500);
constexpr absl::Duration kTargetDrain = absl::Milliseconds(2600);

constexpr int kCrowdSize = 300;
constexpr int kCrowdRepetitions = 8000;

/// Writes a text again and again until the socket is closed.
void writeEndlessly(
    const std::shared_ptr<relay::Tcp::socket>& socket, const std::shared_ptr<const std::string>& text)
{
    relay::asio::async_write(
        *socket, relay::asio::buffer(*text), [socket, text](relay::beast::error_code error, std::size_t) {
            if (!error)
                writeEndlessly(socket, text);
        });
}

class FaultInjector {
public:
    FaultInjector(relay::asio::io_context& loop, Fleet& fleet, const FaultOptions& options);

    /// Schedules faults over the next `time`; each is logged when it is injected.
    void schedule(absl::Duration time);
    const std::vector<std::string>& log() const { return log_; }

private:
    using Injection = void (FaultInjector::*)(Member&);

    void runAfter(absl::Duration delay, std::function<void()> action);
    void injectRandomFault();
    double randomShare(double min, double max);
    absl::Duration randomDuration(int minMs, int maxMs);

    void kill(Member& member);
    void pause(Member& member);
    void sendPlannedStop(Member& member);
    void injectLinkFault(Member& member);
    void silenceConnections(Member& member);
    void injectStoreFault(Member& member);
    void addForeignEntries(Member& member);
    void stopTarget(Member& member);
    void injectTargetFault(Member& member);
    void killSeveral(Member& member);
    void sendCrowd(Member& member);
    void reload(Member& member) { member.process->signal(SIGHUP); }
    void configure(Member& /*member*/) { fleet_.configure(); }

    relay::asio::io_context& loop_;
    Fleet& fleet_;
    std::mt19937_64 random_;
    absl::Time startedAt_;
    std::vector<std::pair<const char*, Injection>> faults_; ///< Faults to draw from, with their names.
    std::vector<std::string> log_;
};

FaultInjector::FaultInjector(relay::asio::io_context& loop, Fleet& fleet, const FaultOptions& options)
    : loop_(loop)
    , fleet_(fleet)
    , random_(options.seed)
    , startedAt_(relay::steadyNow())
{
    constexpr std::array<std::pair<const char*, Injection>, 16> kFaults { { { "kill", &FaultInjector::kill },
        { "pause", &FaultInjector::pause }, { "planned-stop", &FaultInjector::sendPlannedStop },
        { "planned-stop", &FaultInjector::sendPlannedStop }, { "reload", &FaultInjector::reload },
        { "link", &FaultInjector::injectLinkFault }, { "silence", &FaultInjector::silenceConnections },
        { "foreign-entries", &FaultInjector::addForeignEntries },
        { "store", &FaultInjector::injectStoreFault }, { "target", &FaultInjector::stopTarget },
        { "misdeed", &FaultInjector::injectTargetFault }, { "misdeed", &FaultInjector::injectTargetFault },
        { "misdeed", &FaultInjector::injectTargetFault }, { "configuration", &FaultInjector::configure },
        { "crowd", &FaultInjector::sendCrowd }, { "herd", &FaultInjector::killSeveral } } };
    for (const auto& fault : kFaults) {
        if (options.only.empty() || absl::c_linear_search(options.only, fault.first))
            faults_.push_back(fault);
    }
    if (faults_.empty())
        throw std::invalid_argument("no fault has one of the names given");
}

double FaultInjector::randomShare(double min, double max)
{
    return std::uniform_real_distribution<>(min, max)(random_);
}

absl::Duration FaultInjector::randomDuration(int minMs, int maxMs)
{
    return absl::Milliseconds(std::uniform_int_distribution<>(minMs, maxMs)(random_));
}

void FaultInjector::runAfter(absl::Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<relay::asio::steady_timer>(loop_, absl::ToChronoMicroseconds(delay));
    timer->async_wait([timer, action = std::move(action)](relay::beast::error_code error) {
        if (!error)
            action();
    });
}

void FaultInjector::schedule(absl::Duration time)
{
    absl::Duration delay = kFirstFaultDelay;
    while (delay < time - kFaultFreeEnd) {
        runAfter(delay, [this] { injectRandomFault(); });
        if (random_() % kSeriesOneIn == 0)
            runAfter(delay + randomDuration(20, 400), [this] { injectRandomFault(); });
        delay += absl::Seconds(std::exponential_distribution<>(kFaultsPerSecond)(random_));
    }
}

void FaultInjector::injectRandomFault()
{
    Member& member = *fleet_.members[random_() % fleet_.members.size()];
    const auto& [name, injection] = faults_.at(random_() % faults_.size());
    log_.push_back(absl::StrCat("at_ms=", absl::ToInt64Milliseconds(relay::steadyNow() - startedAt_),
        " node=", member.name, " trouble=", name));
    (this->*injection)(member);
}

void FaultInjector::killSeveral(Member& /*member*/)
{
    for (const auto& each : fleet_.members) {
        if (random_() % 2 == 0)
            kill(*each);
    }
}

void FaultInjector::kill(Member& member)
{
    if (!member.process->isRunning())
        return;
    member.isKillExpected = true;
    member.process->signal(SIGKILL);
    fleet_.disturb(member, absl::Milliseconds(500));
}

void FaultInjector::pause(Member& member)
{
    const absl::Duration time = randomDuration(200, 2000);
    fleet_.disturb(member, time);
    member.process->signal(SIGSTOP);
    runAfter(time, [&member] { member.process->signal(SIGCONT); });
}

void FaultInjector::sendPlannedStop(Member& member)
{
    if (member.stopSentAt != absl::InfiniteFuture() || !member.process->isRunning())
        return;
    member.stopSentAt = relay::steadyNow();
    member.process->signal(SIGTERM);
    // The limits apply during a planned stop; they are suspended only for the restart that follows.
    runAfter(absl::Seconds(5), [this, &member] { fleet_.disturb(member, absl::ZeroDuration()); });
}

void FaultInjector::injectLinkFault(Member& member)
{
    const auto kind = static_cast<std::size_t>(random_() % kLinkKindCount);
    Proxy& link = *member.links.at(kind);
    const absl::Duration time = randomDuration(300, 1800);
    fleet_.disturb(member, time);
    if (kind == static_cast<std::size_t>(LinkKind::ToTarget))
        member.linkDisturbedUntil = member.disturbedUntil;
    const std::array<LinkFaults, 4> kinds { LinkFaults { randomDuration(30, 250), false, false },
        LinkFaults { {}, true, false }, LinkFaults { {}, false, true }, LinkFaults { {}, true, true } };
    const std::size_t chosen = random_() % (kinds.size() + 1);
    if (chosen == kinds.size()) {
        link.resetAll();
        return;
    }
    link.setFaults(kinds.at(chosen));
    runAfter(time, [&link] { link.setFaults({}); });
}

/// Silences the open connections of all nodes on one kind of link, for good.
void FaultInjector::silenceConnections(Member& /*member*/)
{
    const std::size_t kind = random_() % kLinkKindCount;
    for (const auto& each : fleet_.members) {
        each->links.at(kind)->silenceAll();
        fleet_.disturb(*each, absl::ZeroDuration());
        if (kind == static_cast<std::size_t>(LinkKind::ToTarget))
            each->linkDisturbedUntil = each->disturbedUntil;
    }
}

void FaultInjector::addForeignEntries(Member& /*member*/)
{
    fleet_.store->addForeignEntries(random_() % 2 == 0 ? platform::kConfigurationKind : platform::kNodeKind);
}

void FaultInjector::injectStoreFault(Member& /*member*/)
{
    const absl::Duration time = randomDuration(300, 2500);
    Store& store = *fleet_.store;
    fleet_.storeDisturbedUntil
        = std::max(fleet_.storeDisturbedUntil, relay::steadyNow() + time + Limits {}.recoveryTime);
    const std::array<StoreFaults, 4> kinds { StoreFaults { true, false, {}, 0 },
        StoreFaults { false, true, {}, 0 }, StoreFaults { false, false, randomDuration(50, 400), 0 },
        StoreFaults { false, false, {}, randomShare(0.2, 0.8) } };
    const std::size_t chosen = random_() % (kinds.size() + 1);
    if (chosen == kinds.size())
        store.dropHistory();
    else
        store.faults = kinds.at(chosen);
    runAfter(time, [&store] { store.faults = {}; });
}

/// Clients that respect no limit: each opens a connection, sends the start of a request and then one of its
/// parts without end, and reads nothing.
void FaultInjector::sendCrowd(Member& member)
{
    constexpr std::array<std::pair<const char*, const char*>, 6> kParts {
        { { "GET / HTTP/1.1\r\n", "X: y\r\n" }, { "GET /", "x" }, { "", "\r\n" },
            { "", "GET / HTTP/1.1\r\nHost: soak.example\r\n\r\n" },
            { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n" },
            { "POST / HTTP/1.1\r\nContent-Length: 50000000\r\n\r\n", "x" } }
    };
    const absl::Duration time = randomDuration(300, 2000);
    fleet_.disturb(member, time);
    const auto& [start, part] = kParts.at(random_() % kParts.size());
    const std::string startText = start;
    std::string text;
    for (int count = 0; count < kCrowdRepetitions; ++count)
        text += part;
    const auto repeated = std::make_shared<const std::string>(std::move(text));
    for (int index = 0; index < kCrowdSize; ++index) {
        const auto socket = std::make_shared<relay::Tcp::socket>(loop_);
        const auto first = std::make_shared<const std::string>(startText + *repeated);
        socket->async_connect(relay::parseEndpoint(member.callerAddress),
            [socket, first, repeated](relay::beast::error_code error) {
                if (!error)
                    relay::asio::async_write(*socket, relay::asio::buffer(*first),
                        [socket, first, repeated](relay::beast::error_code writeError, std::size_t) {
                            if (!writeError)
                                writeEndlessly(socket, repeated);
                        });
            });
        runAfter(time, [socket] {
            relay::beast::error_code ignored;
            socket->close(ignored);
        });
    }
}

void FaultInjector::stopTarget(Member& member)
{
    if (random_() % 3 == 0) {
        member.target->crash(randomDuration(200, 1500));
        member.linkDisturbedUntil
            = std::max(member.linkDisturbedUntil, relay::steadyNow() + Limits {}.recoveryTime);
    } else {
        member.target->leave(random_() % 3 == 0, kTargetDrain);
    }
}

void FaultInjector::injectTargetFault(Member& member)
{
    constexpr std::array kTargetFaults { TargetFault::LoseResponse, TargetFault::TruncateResponse,
        TargetFault::UnsolicitedResponse, TargetFault::CloseDelimitedResponse, TargetFault::Refuse,
        TargetFault::Hang, TargetFault::Slow };
    const TargetFault fault = kTargetFaults.at(random_() % kTargetFaults.size());
    const bool affectsEntireService = random_() % 2 == 0;
    const absl::Duration time = randomDuration(400, 2500);
    for (const auto& each : fleet_.members) {
        if (each.get() != &member && (!affectsEntireService || each->service != member.service))
            continue;
        Target& target = *each->target;
        target.setFault(fault, randomShare(0.1, 0.8));
        runAfter(time, [&target] { target.setFault(TargetFault::None, 0); });
    }
}

} // namespace

std::shared_ptr<const std::vector<std::string>> scheduleFaults(
    relay::asio::io_context& loop, Fleet& fleet, const FaultOptions& options, absl::Duration time)
{
    const auto injector = std::make_shared<FaultInjector>(loop, fleet, options);
    injector->schedule(time);
    return { injector, &injector->log() };
}

} // namespace jackdawwall::soak
