// jackdaw-load, an open-loop load generator with scripted call rates, retries, deadlines and call kinds.
#include "adapter/bounded-queue.h"
#include "adapter/connection-pool.h"
#include "main/command-line.h"
#include "main/load-report.h"
#include "main/load-script.h"
#include "node/call-headers.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <tclap/CmdLine.h>

#include <atomic>
#include <iostream>
#include <random>
#include <thread>

namespace jackdawwall {
namespace {

constexpr std::size_t kQueueCapacity = 100'000;
constexpr std::size_t kMaxResponseBytes = 256U << 20;

/// One scripted call.
struct LoadJob {
    std::size_t phase = 0;
    std::size_t kind = 0;
    absl::Duration scheduled;
    std::uint64_t number = 0;
};

struct LoadRun {
    LoadScript script;
    std::vector<std::string> addresses;
    ConnectionPool pool;
    LoadReport report;
    BoundedQueue<LoadJob> queue { kQueueCapacity };
    absl::Time start;
    std::atomic<std::size_t> nextAddress { 0 };
    std::string body;
};

std::string requestIdOf(const LoadRun& run, const LoadJob& job)
{
    const bool isAtMostOnce = run.script.kinds[job.kind].isAtMostOnce;
    return absl::StrCat("t", absl::ToUnixSeconds(run.start), isAtMostOnce ? "-once-" : "-", run.script.seed,
        "-", absl::ToUnixMicros(run.start) % 1'000'000, "-", job.number);
}

ExchangeRequest makeRequest(
    const LoadRun& run, const LoadJob& job, const std::string& requestId, absl::Time deadline)
{
    const LoadKind& kind = run.script.kinds[job.kind];
    ExchangeRequest request;
    request.method = kind.bodyBytes > 0 || kind.isAtMostOnce ? "POST" : "GET";
    request.deadline = deadline;
    const std::int64_t remainingMs = absl::ToInt64Milliseconds(deadline - absl::Now());
    request.headers = { { kServiceHeader, kind.service }, { kCallerHeader, kind.caller },
        { kKindHeader, kind.kind }, { kRequestIdHeader, requestId },
        { kDeadlineHeader, absl::StrCat(std::max<std::int64_t>(1, remainingMs)) } };
    if (kind.isAtMostOnce)
        request.headers.push_back({ kRepeatHeader, "never" });
    request.body = absl::string_view(run.body).substr(0, static_cast<std::size_t>(kind.bodyBytes));
    return request;
}

/// Sends one attempt and records its result; returns true when no retry is needed.
bool sendAttempt(
    LoadRun& run, const LoadJob& job, absl::Time deadline, LoadResult& result, absl::Duration& retryAfter)
{
    const std::string requestId = requestIdOf(run, job);
    const std::string& address = run.addresses[run.nextAddress++ % run.addresses.size()];
    ExchangeRequest request = makeRequest(run, job, requestId, deadline);
    request.url = absl::StrCat("http://", address, "/work");
    const absl::StatusOr<HttpResponse> response = fetch(run.pool, address, request, kMaxResponseBytes);
    if (!response.ok()) {
        result.outcome = "none";
        return false;
    }
    const absl::string_view outcome = findHeader(response->headers, kOutcomeHeader);
    result.outcome = outcome.empty() ? absl::StrCat("status-", response->status) : std::string(outcome);
    int milliseconds = 0;
    if (absl::SimpleAtoi(findHeader(response->headers, kRetryAfterHeader), &milliseconds))
        retryAfter = absl::Milliseconds(milliseconds);
    if (response->status != 200)
        return result.outcome == "unknown" && run.script.kinds[job.kind].isAtMostOnce;
    result.isMismatched = !absl::StartsWith(response->body, absl::StrCat("id=", requestId, " "));
    result.isComplete = !result.isMismatched;
    return true;
}

LoadResult runJob(LoadRun& run, const LoadJob& job)
{
    LoadResult result;
    result.phase = job.phase;
    result.kind = job.kind;
    result.scheduled = job.scheduled;
    const absl::Time scheduledTime = run.start + job.scheduled;
    const absl::Time deadline = scheduledTime + run.script.kinds[job.kind].deadline;
    for (int attempt = 0; attempt <= run.script.retries && absl::Now() < deadline; ++attempt) {
        absl::Duration retryAfter;
        result.attempts = attempt + 1;
        if (sendAttempt(run, job, deadline, result, retryAfter))
            break;
        if (run.script.honoursHint)
            absl::SleepFor(std::min(retryAfter, std::max(absl::ZeroDuration(), deadline - absl::Now())));
    }
    result.latency = absl::Now() - scheduledTime;
    result.isComplete = result.isComplete && absl::Now() <= deadline;
    return result;
}

void runWorker(LoadRun& run)
{
    while (const std::optional<LoadJob> job = run.queue.pop())
        run.report.add(runJob(run, *job));
}

std::size_t drawKind(const LoadScript& script, std::mt19937_64& generator)
{
    std::vector<double> shares;
    for (const LoadKind& kind : script.kinds)
        shares.push_back(kind.share);
    return std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(generator);
}

/// Queues the calls at their scheduled times. Intervals are exponentially distributed and
/// reproducible from the seed.
void scheduleCalls(LoadRun& run)
{
    std::mt19937_64 generator(run.script.seed);
    absl::Duration phaseStart;
    std::uint64_t number = 0;
    for (std::size_t phase = 0; phase < run.script.phases.size(); ++phase) {
        const LoadPhase& current = run.script.phases[phase];
        std::exponential_distribution<double> gap(std::max(1e-9, current.callsPerSecond));
        for (absl::Duration at = absl::Seconds(gap(generator)); at < current.length;
             at += absl::Seconds(gap(generator))) {
            absl::SleepFor(run.start + phaseStart + at - absl::Now());
            run.queue.push({ phase, drawKind(run.script, generator), phaseStart + at, ++number });
        }
        phaseStart += current.length;
        absl::SleepFor(run.start + phaseStart - absl::Now());
    }
}

int runLoad(LoadScript script, std::vector<std::string> addresses, const std::string& variant)
{
    std::signal(SIGPIPE, SIG_IGN);
    LoadRun run;
    run.script = std::move(script);
    run.addresses = std::move(addresses);
    std::int64_t maxBodyBytes = 0;
    for (const LoadKind& kind : run.script.kinds)
        maxBodyBytes = std::max(maxBodyBytes, kind.bodyBytes);
    run.body.assign(static_cast<std::size_t>(maxBodyBytes), 'x');
    run.start = absl::Now();
    std::vector<std::thread> workers;
    workers.reserve(static_cast<std::size_t>(run.script.threads));
    for (int index = 0; index < run.script.threads; ++index)
        workers.emplace_back([&run] { runWorker(run); });
    scheduleCalls(run);
    run.queue.close();
    for (std::thread& worker : workers)
        worker.join();
    std::cout << run.report.lines(run.script, variant);
    if (run.queue.rejectedCount() > 0)
        std::cerr << "calls not sent because the queue was full: " << run.queue.rejectedCount() << "\n";
    return kExitOk;
}

} // namespace
} // namespace jackdawwall

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] {
        TCLAP::CmdLine line("Generates open-loop load and prints measurements.", ' ', kProgramVersion);
        TCLAP::MultiArg<std::string> addresses(
            "a", "address", "Address of a node or target", true, "IP:PORT", line);
        TCLAP::ValueArg<std::string> script(
            "s", "script", "Load script, JSON with comments", true, "", "FILE", line);
        TCLAP::ValueArg<std::string> variant(
            "v", "variant", "Label of the printed lines", false, "run", "NAME", line);
        line.parse(argc, argv);
        std::vector<Finding> findings;
        LoadScript read = readLoadScript(script.getValue(), findings);
        if (!findings.empty()) {
            std::cerr << formatFindings(findings);
            return kExitInvalid;
        }
        return runLoad(std::move(read), addresses.getValue(), variant.getValue());
    });
}
