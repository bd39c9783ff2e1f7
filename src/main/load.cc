// jackdaw-load: open-loop callers with a scripted rate, retries, deadlines and mix.
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

constexpr std::size_t kRingLength = 100'000;
constexpr std::size_t kLongestAnswerBytes = 256U << 20;

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
    BoundedRing<LoadJob> ring { kRingLength };
    absl::Time start;
    std::atomic<std::size_t> nextAddress { 0 };
    std::string body;
};

std::string requestIdOf(const LoadRun& run, const LoadJob& job)
{
    const bool isOnce = run.script.kinds[job.kind].isOnce;
    return absl::StrCat("t", absl::ToUnixSeconds(run.start), isOnce ? "-once-" : "-", run.script.seed, "-",
        absl::ToUnixMicros(run.start) % 1'000'000, "-", job.number);
}

ExchangeRequest makeRequest(
    const LoadRun& run, const LoadJob& job, const std::string& requestId, absl::Time deadline)
{
    const LoadKind& kind = run.script.kinds[job.kind];
    ExchangeRequest request;
    request.method = kind.bodyBytes > 0 || kind.isOnce ? "POST" : "GET";
    request.deadline = deadline;
    const std::int64_t left = absl::ToInt64Milliseconds(deadline - absl::Now());
    request.headers = { { kServiceHeader, kind.service }, { kCallerHeader, kind.caller },
        { kKindHeader, kind.kind }, { kRequestIdHeader, requestId },
        { kDeadlineHeader, absl::StrCat(std::max<std::int64_t>(1, left)) } };
    if (kind.isOnce)
        request.headers.push_back({ kRepeatHeader, "never" });
    request.body = absl::string_view(run.body).substr(0, static_cast<std::size_t>(kind.bodyBytes));
    return request;
}

/// Sends one attempt and notes what came back; true when no other is needed.
bool tryOnce(LoadRun& run, const LoadJob& job, absl::Time deadline, LoadResult& result, absl::Duration& hint)
{
    const std::string requestId = requestIdOf(run, job);
    const std::string& address = run.addresses[run.nextAddress++ % run.addresses.size()];
    ExchangeRequest request = makeRequest(run, job, requestId, deadline);
    request.url = absl::StrCat("http://", address, "/work");
    const absl::StatusOr<HttpResponse> answer = fetch(run.pool, address, request, kLongestAnswerBytes);
    if (!answer.ok()) {
        result.outcome = "none";
        return false;
    }
    const absl::string_view outcome = findHeader(answer->headers, kOutcomeHeader);
    result.outcome = outcome.empty() ? absl::StrCat("status-", answer->status) : std::string(outcome);
    int milliseconds = 0;
    if (absl::SimpleAtoi(findHeader(answer->headers, kRetryAfterHeader), &milliseconds))
        hint = absl::Milliseconds(milliseconds);
    if (answer->status != 200)
        return result.outcome == "unknown" && run.script.kinds[job.kind].isOnce;
    result.isWrong = !absl::StartsWith(answer->body, absl::StrCat("id=", requestId, " "));
    result.isWhole = !result.isWrong;
    return true;
}

LoadResult runJob(LoadRun& run, const LoadJob& job)
{
    LoadResult result;
    result.phase = job.phase;
    result.kind = job.kind;
    result.scheduled = job.scheduled;
    const absl::Time due = run.start + job.scheduled;
    const absl::Time deadline = due + run.script.kinds[job.kind].deadline;
    for (int attempt = 0; attempt <= run.script.retries && absl::Now() < deadline; ++attempt) {
        absl::Duration hint;
        result.attempts = attempt + 1;
        if (tryOnce(run, job, deadline, result, hint))
            break;
        if (run.script.honoursHint)
            absl::SleepFor(std::min(hint, std::max(absl::ZeroDuration(), deadline - absl::Now())));
    }
    result.latency = absl::Now() - due;
    result.isWhole = result.isWhole && absl::Now() <= deadline;
    return result;
}

void work(LoadRun& run)
{
    while (const std::optional<LoadJob> job = run.ring.pop())
        run.report.add(runJob(run, *job));
}

std::size_t drawKind(const LoadScript& script, std::mt19937_64& generator)
{
    std::vector<double> shares;
    for (const LoadKind& kind : script.kinds)
        shares.push_back(kind.share);
    return std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(generator);
}

/// Hands out the calls at their times: exponential gaps, seeded.
void schedule(LoadRun& run)
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
            run.ring.push({ phase, drawKind(run.script, generator), phaseStart + at, ++number });
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
    std::int64_t longestBody = 0;
    for (const LoadKind& kind : run.script.kinds)
        longestBody = std::max(longestBody, kind.bodyBytes);
    run.body.assign(static_cast<std::size_t>(longestBody), 'x');
    run.start = absl::Now();
    std::vector<std::thread> workers;
    workers.reserve(static_cast<std::size_t>(run.script.threads));
    for (int index = 0; index < run.script.threads; ++index)
        workers.emplace_back([&run] { work(run); });
    schedule(run);
    run.ring.close();
    for (std::thread& worker : workers)
        worker.join();
    std::cout << run.report.lines(run.script, variant);
    if (run.ring.refused() > 0)
        std::cerr << "calls not sent: " << run.ring.refused() << "\n";
    return kExitOk;
}

} // namespace
} // namespace jackdawwall

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] {
        TCLAP::CmdLine line("Open-loop callers that print the measures.", ' ', kProgramVersion);
        TCLAP::MultiArg<std::string> addresses("a", "address", "Nodes or targets", true, "IP:PORT", line);
        TCLAP::ValueArg<std::string> script("s", "script", "JSON with comments", true, "", "FILE", line);
        TCLAP::ValueArg<std::string> variant(
            "v", "variant", "Label of the lines", false, "run", "NAME", line);
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
