#include "record.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <set>

namespace jackdawwall::soak {
namespace {

/// A service with fewer cancelled works is not judged.
constexpr int kLeastWorks = 5;
/// Share of cancelled works that may go on.
constexpr double kMostGoneOn = 0.25;

bool isPromiseOfNotRun(unsigned status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

void Record::reportViolation(absl::string_view promise, absl::string_view detail)
{
    findings_.push_back(absl::StrCat("promise=", promise, " ", detail));
}

void Record::callSent(const std::string& id, const SentCall& sending)
{
    sendings_.emplace(id, sending);
}

void Record::responseReceived(const std::string& id, const ObservedResponse& answer)
{
    answers_[id] = answer;
    refusals_ += isPromiseOfNotRun(answer.status) ? 1 : 0;
    if (answer.status / 100 != 2)
        return;
    ++successes_;
    if (!answer.isExpectedBody)
        reportViolation("whole-answers", absl::StrCat("request=", id, " got another body"));
}

void Record::requestArrived(
    const std::string& id, const Arrival& arrival, std::uint64_t bodyHash, bool isPathDisturbed)
{
    const auto sending = sendings_.find(id);
    if (sending == sendings_.end())
        reportViolation("only-what-was-asked", absl::StrCat("request=", id, " was never sent"));
    else if (sending->second.bodyHash != bodyHash)
        reportViolation("only-what-was-asked", absl::StrCat("request=", id, " has another body"));
    arrivals_[id].push_back(arrival);
    const auto leave = leaves_.find(arrival.lifetime);
    if (leave == leaves_.end() || isPathDisturbed || arrival.at <= leave->second + bounds_.drain)
        return;
    reportViolation("drain",
        absl::StrCat("request=", id, " target=", arrival.lifetime,
            " after_ms=", absl::ToInt64Milliseconds(arrival.at - leave->second)));
}

void Record::leaveAcknowledged(const std::string& lifetime, absl::Time at)
{
    leaves_.emplace(lifetime, at);
}

void Record::workAfterDisconnect(const std::string& id, bool hasGoneOn)
{
    if (hasGoneOn)
        worksGoneOn_.push_back(id);
    else
        ++worksEnded_;
}

void Record::versionObserved(const std::string& process, std::uint64_t shown, std::uint64_t accepted,
    bool mustBeCurrent, absl::Time sentAt)
{
    if (mustBeCurrent && shown < accepted)
        reportViolation("configuration-in-force",
            absl::StrCat("process=", process, " shows=", shown, " accepted=", accepted));
    Shown& newest = shown_[process];
    if (shown < newest.version && sentAt > newest.at + bounds_.rollbackSlack)
        reportViolation("configuration-never-back",
            absl::StrCat("process=", process, " shows=", shown, " showed=", newest.version));
    if (shown > newest.version)
        newest = { shown, sentAt };
}

void Record::checkOne(const std::string& id, const SentCall& sending)
{
    const auto found = arrivals_.find(id);
    const std::vector<Arrival> arrivals = found == arrivals_.end() ? std::vector<Arrival>() : found->second;
    const auto runs = std::count_if(
        arrivals.begin(), arrivals.end(), [](const Arrival& arrival) { return arrival.wasExecuted; });
    if (!sending.isIdempotent && runs > 1)
        reportViolation("at-most-once", absl::StrCat("request=", id, " ran=", runs));
    const auto answer = answers_.find(id);
    if (answer != answers_.end() && isPromiseOfNotRun(answer->second.status) && runs > 0)
        reportViolation(
            "true-refusal", absl::StrCat("request=", id, " status=", answer->second.status, " ran=", runs));
    if (static_cast<int>(arrivals.size()) > bounds_.attempts)
        reportViolation("attempts", absl::StrCat("request=", id, " arrivals=", arrivals.size()));
}

void Record::finish()
{
    std::set<std::string> services;
    for (const auto& [id, sending] : sendings_) {
        checkOne(id, sending);
        services.insert(sending.service);
    }
    for (const std::string& service : services) {
        std::vector<absl::Time> firsts;
        std::vector<absl::Time> repeats;
        for (const auto& [id, sending] : sendings_) {
            if (sending.service != service)
                continue;
            firsts.push_back(sending.sentAt);
            const auto found = arrivals_.find(id);
            for (std::size_t index = 1; found != arrivals_.end() && index < found->second.size(); ++index)
                repeats.push_back(found->second[index].at);
        }
        std::sort(repeats.begin(), repeats.end());
        for (const absl::Time end : repeats) {
            const auto inWindow = [&](absl::Time at) { return at > end - bounds_.retryWindow && at <= end; };
            const auto asked = std::count_if(firsts.begin(), firsts.end(), inWindow);
            const auto repeated = std::count_if(repeats.begin(), repeats.end(), inWindow);
            const double most = bounds_.retryRatio * static_cast<double>(asked) + bounds_.extraRetries;
            if (static_cast<double>(repeated) <= most)
                continue;
            reportViolation("retries-bounded",
                absl::StrCat("service=", service, " repeated=", repeated, " asked=", asked, " most=", most));
            break;
        }
    }
    const auto goneOn = static_cast<int>(worksGoneOn_.size());
    const int works = worksEnded_ + goneOn;
    if (works >= kLeastWorks && goneOn > kMostGoneOn * works)
        reportViolation(
            "callers-that-left", absl::StrCat("requests=", absl::StrJoin(worksGoneOn_, ","), " of=", works));
}

} // namespace jackdawwall::soak
