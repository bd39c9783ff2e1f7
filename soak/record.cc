#include "record.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <set>

namespace jackdawwall::soak {
namespace {

/// With fewer cancelled requests, the share that is still running is not evaluated.
constexpr int kMinCancelledCalls = 5;
/// Largest acceptable share of cancelled requests that are still executed after Limits::cancel.
constexpr double kMaxStillRunningShare = 0.25;

bool isNotRunStatus(unsigned status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

void Record::reportViolation(absl::string_view guarantee, absl::string_view detail)
{
    violations_.push_back(absl::StrCat("promise=", guarantee, " ", detail));
}

void Record::callSent(const std::string& id, const SentCall& call)
{
    sentCalls_.emplace(id, call);
}

void Record::responseReceived(const std::string& id, const ObservedResponse& response)
{
    responses_[id] = response;
    refusals_ += isNotRunStatus(response.status) ? 1 : 0;
    if (response.status / 100 != 2)
        return;
    ++successes_;
    if (!response.isExpectedBody)
        reportViolation("whole-answers", absl::StrCat("request=", id, " received a wrong response body"));
}

void Record::requestArrived(
    const std::string& id, const Arrival& arrival, std::uint64_t bodyHash, bool isPathDisturbed)
{
    const auto call = sentCalls_.find(id);
    if (call == sentCalls_.end())
        reportViolation("only-what-was-asked", absl::StrCat("request=", id, " was never sent"));
    else if (call->second.bodyHash != bodyHash)
        reportViolation(
            "only-what-was-asked", absl::StrCat("request=", id, " arrived with a different body"));
    arrivals_[id].push_back(arrival);
    const auto leave = leaves_.find(arrival.lifetime);
    if (leave == leaves_.end() || isPathDisturbed || arrival.at <= leave->second + limits_.drain)
        return;
    reportViolation("drain",
        absl::StrCat("request=", id, " target=", arrival.lifetime,
            " after_ms=", absl::ToInt64Milliseconds(arrival.at - leave->second)));
}

void Record::leaveAcknowledged(const std::string& lifetime, absl::Time at)
{
    leaves_.emplace(lifetime, at);
}

void Record::workAfterDisconnect(const std::string& id, bool isStillRunning)
{
    if (isStillRunning)
        callsStillRunning_.push_back(id);
    else
        ++callsCancelledInTime_;
}

void Record::versionObserved(const std::string& process, std::uint64_t observed, std::uint64_t accepted,
    bool mustBeCurrent, absl::Time sentAt)
{
    if (mustBeCurrent && observed < accepted)
        reportViolation("configuration-in-force",
            absl::StrCat("process=", process, " shows=", observed, " accepted=", accepted));
    ObservedVersion& newest = observedVersions_[process];
    if (observed < newest.version && sentAt > newest.at + limits_.rollbackSlack)
        reportViolation("configuration-never-back",
            absl::StrCat("process=", process, " shows=", observed, " showed=", newest.version));
    if (observed > newest.version)
        newest = { observed, sentAt };
}

void Record::checkCall(const std::string& id, const SentCall& call)
{
    const auto found = arrivals_.find(id);
    const std::vector<Arrival> arrivals = found == arrivals_.end() ? std::vector<Arrival>() : found->second;
    const auto executions = std::count_if(
        arrivals.begin(), arrivals.end(), [](const Arrival& arrival) { return arrival.wasExecuted; });
    if (!call.isIdempotent && executions > 1)
        reportViolation("at-most-once", absl::StrCat("request=", id, " ran=", executions));
    const auto response = responses_.find(id);
    if (response != responses_.end() && isNotRunStatus(response->second.status) && executions > 0)
        reportViolation("true-refusal",
            absl::StrCat("request=", id, " status=", response->second.status, " ran=", executions));
    if (static_cast<int>(arrivals.size()) > limits_.attempts)
        reportViolation("attempts", absl::StrCat("request=", id, " arrivals=", arrivals.size()));
}

void Record::finish()
{
    std::set<std::string> services;
    for (const auto& [id, call] : sentCalls_) {
        checkCall(id, call);
        services.insert(call.service);
    }
    for (const std::string& service : services) {
        std::vector<absl::Time> sentTimes;
        std::vector<absl::Time> retryTimes;
        for (const auto& [id, call] : sentCalls_) {
            if (call.service != service)
                continue;
            sentTimes.push_back(call.sentAt);
            const auto found = arrivals_.find(id);
            for (std::size_t index = 1; found != arrivals_.end() && index < found->second.size(); ++index)
                retryTimes.push_back(found->second[index].at);
        }
        std::sort(retryTimes.begin(), retryTimes.end());
        for (const absl::Time end : retryTimes) {
            const auto isInWindow
                = [&](absl::Time at) { return at > end - limits_.retryWindow && at <= end; };
            const auto callsInWindow = std::count_if(sentTimes.begin(), sentTimes.end(), isInWindow);
            const auto retriesInWindow = std::count_if(retryTimes.begin(), retryTimes.end(), isInWindow);
            const double maxRetries
                = limits_.retryRatio * static_cast<double>(callsInWindow) + limits_.extraRetries;
            if (static_cast<double>(retriesInWindow) <= maxRetries)
                continue;
            reportViolation("retries-bounded",
                absl::StrCat("service=", service, " repeated=", retriesInWindow, " asked=", callsInWindow,
                    " most=", maxRetries));
            break;
        }
    }
    const auto stillRunning = static_cast<int>(callsStillRunning_.size());
    const int cancelled = callsCancelledInTime_ + stillRunning;
    if (cancelled >= kMinCancelledCalls && stillRunning > kMaxStillRunningShare * cancelled)
        reportViolation("callers-that-left",
            absl::StrCat("requests=", absl::StrJoin(callsStillRunning_, ","), " of=", cancelled));
}

} // namespace jackdawwall::soak
