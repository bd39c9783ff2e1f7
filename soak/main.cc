// jackdaw-soak: runs one seed of the fault soak. Prints a line for each violated guarantee, and the verdict.
#include "callers.h"
#include "faults.h"
#include "main/command-line.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace jackdawwall::soak {
namespace {

constexpr auto kProcessPollInterval = std::chrono::milliseconds(20);
/// How long the run continues after the last request, for pending responses, late arrivals and planned
/// stops.
constexpr absl::Duration kSettleTime = absl::Seconds(3);
constexpr absl::Duration kStartTimeout = absl::Seconds(10);
/// A run with fewer successful responses proves nothing and is reported as a violation.
constexpr std::size_t kMinSuccesses = 200;

struct SoakOptions {
    FleetOptions fleet;
    FaultOptions faults;
    int seconds = 10;
    bool skipsTimeLimits = false; ///< Ignores violations of guarantees with a time limit.
};

/// Whether the violated guarantee has a time limit. Such guarantees can't be evaluated on a machine that is
/// too busy to run the callers on time.
bool hasTimeLimit(const std::string& violation)
{
    for (const char* guarantee : { "drain", "configuration-", "planned-stop", "callers-that-left" }) {
        if (absl::StartsWith(violation, absl::StrCat("promise=", guarantee)))
            return true;
    }
    return false;
}

void pollProcesses(relay::asio::steady_timer& timer, Fleet& fleet)
{
    fleet.superviseProcesses();
    timer.expires_after(kProcessPollInterval);
    timer.async_wait([&](relay::beast::error_code error) {
        if (!error)
            pollProcesses(timer, fleet);
    });
}

void runFor(relay::asio::io_context& loop, absl::Duration time, const std::function<bool()>& isDone)
{
    const absl::Time end = relay::steadyNow() + time;
    while (relay::steadyNow() < end && !isDone())
        loop.run_one_for(std::chrono::milliseconds(20));
}

int runSeed(const SoakOptions& options)
{
    relay::asio::io_context loop;
    Record record { Limits {} };
    Fleet fleet(loop, record, options.fleet);
    Callers callers(loop, record, fleet, options.fleet.seed + 1);
    relay::asio::steady_timer pollTimer(loop);
    fleet.startAll();
    pollProcesses(pollTimer, fleet);
    callers.start();
    const auto isReady = [&] {
        return std::all_of(
            fleet.members.begin(), fleet.members.end(), [](const auto& m) { return m->isReady; });
    };
    runFor(loop, kStartTimeout, isReady);
    if (!isReady())
        record.reportViolation("nodes-start", "some nodes did not become ready");
    const auto faults = scheduleFaults(loop, fleet, options.faults, absl::Seconds(options.seconds));
    const auto never = [] { return false; };
    runFor(loop, absl::Seconds(options.seconds), never);
    callers.stop();
    runFor(loop, kSettleTime, never);
    record.finish();
    if (record.successes() < kMinSuccesses)
        record.reportViolation("serves", absl::StrCat("answers=", record.successes()));
    int violationCount = 0;
    for (const std::string& violation : record.violations()) {
        if (options.skipsTimeLimits && hasTimeLimit(violation))
            continue;
        ++violationCount;
        std::cout << "broken seed=" << options.fleet.seed << " " << violation << "\n";
    }
    if (violationCount > 0) {
        for (const std::string& fault : *faults)
            std::cout << "trouble seed=" << options.fleet.seed << " " << fault << "\n";
    }
    std::cout << "verdict=" << (violationCount == 0 ? "held" : "broken") << " seed=" << options.fleet.seed
              << " sent=" << record.sentCalls() << " answered=" << record.successes()
              << " refused=" << record.refusals() << " troubles=" << faults->size()
              << " versions=" << fleet.version() << std::endl;
    return violationCount == 0 ? kExitOk : kExitFailed;
}

} // namespace
} // namespace jackdawwall::soak

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] {
        TCLAP::CmdLine line("Runs one seed of the fault soak.", ' ', kProgramVersion);
        TCLAP::ValueArg<std::string> program("p", "program", "The node's executable", true, "", "FILE", line);
        TCLAP::ValueArg<std::string> folder(
            "f", "folder", "Where settings and logs are written", true, "", "DIR", line);
        TCLAP::ValueArg<std::uint64_t> seed(
            "s", "seed", "Selects the random faults and calls", false, 1, "N", line);
        TCLAP::ValueArg<int> seconds("t", "seconds", "Duration of the run", false, 10, "S", line);
        TCLAP::SwitchArg untimed("u", "untimed", "Ignores guarantees with a time limit", line);
        TCLAP::MultiArg<std::string> only(
            "o", "only", "Injects only this kind of fault; may be repeated", false, "FAULT", line);
        line.parse(argc, argv);
        std::signal(SIGPIPE, SIG_IGN);
        soak::SoakOptions options;
        options.fleet = { program.getValue(), folder.getValue(), seed.getValue() };
        options.faults = { seed.getValue(), only.getValue() };
        options.seconds = seconds.getValue();
        options.skipsTimeLimits = untimed.getValue();
        return soak::runSeed(options);
    });
}
