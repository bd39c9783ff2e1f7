#include "node/node-state.h"

#include "adapter/catalogue-json.h"

#include "absl/time/clock.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <random>

namespace jackdawwall {
namespace {

DecisionState makeDecisions()
{
    DecisionState decisions;
    decisions.admission = makeAdmissionState({});
    decisions.hedging = makeHedgeState({});
    decisions.retries = makeRetryRatio({});
    std::random_device device;
    decisions.generator.seed(device());
    return decisions;
}

void wake(DecisionState& decisions, CallId id, Reason reason)
{
    const auto found = decisions.waiters.find(id);
    if (found == decisions.waiters.end())
        return;
    found->second->isDecided = true;
    found->second->reason = reason;
    const std::uint64_t one = 1;
    if (write(found->second->eventFd, &one, sizeof(one)) < 0)
        logEvent(LogLevel::Error, "wake-failed", { { "call", id } });
}

} // namespace

NodeState::NodeState(NodeSettings nodeSettings)
    : settings(std::move(nodeSettings))
    , platform(connectPlatform({ settings.platformAddresses, absl::Seconds(2) }, pool))
    , decisions(makeDecisions())
    , catalogue_(std::make_shared<Catalogue>())
{
}

std::shared_ptr<const Catalogue> NodeState::catalogue() const
{
    const absl::MutexLock lock(&catalogueMutex_);
    return catalogue_;
}

InForce NodeState::inForce() const
{
    const absl::MutexLock lock(&catalogueMutex_);
    return { catalogue_->version, since_ };
}

StoredObject NodeState::catalogueDocument() const
{
    const absl::MutexLock lock(&catalogueMutex_);
    return document_;
}

bool NodeState::offerCatalogue(const StoredObject& document)
{
    if (!isNewer(document.version, catalogue()->version))
        return false;
    std::vector<Finding> findings;
    const std::optional<CatalogueDocument> parsed = readDocument(document.value, findings);
    Catalogue typed = parsed ? toCatalogue(*parsed, document.version, findings) : Catalogue {};
    if (!findings.empty()) {
        logEvent(LogLevel::Error, "catalogue-rejected",
            { { "version", document.version }, { "findings", formatFindings(findings) } });
        return false;
    }
    const absl::MutexLock lock(&catalogueMutex_);
    if (!isNewer(document.version, catalogue_->version))
        return false;
    catalogue_ = std::make_shared<Catalogue>(std::move(typed));
    document_ = document;
    since_ = absl::Now();
    logEvent(LogLevel::Info, "catalogue-in-force", { { "version", document.version } });
    return true;
}

const std::vector<Candidate>& candidatesFor(
    DecisionState& decisions, const NodeSettings& settings, const std::string& service)
{
    const auto found = decisions.subsets.find(service);
    if (found != decisions.subsets.end())
        return found->second;
    std::vector<Candidate> all;
    for (const Member& member : routableMembers(decisions.membership, service))
        all.push_back({ member.peerAddress, member.dataCentre == settings.dataCentre });
    const std::size_t size = decisions.routing.options.subsetSize;
    return decisions.subsets[service] = chooseSubset(all, decisions.membership.self, size);
}

void wakeReleased(DecisionState& decisions, const Release& release)
{
    for (const CallId id : release.started)
        wake(decisions, id, Reason::None);
    for (const RefusedCall& refused : release.refused)
        wake(decisions, refused.id, refused.reason);
}

} // namespace jackdawwall
