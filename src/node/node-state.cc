#include "node/node-state.h"

#include "adapter/catalogue-json.h"

#include "absl/time/clock.h"

#include <sys/eventfd.h>
#include <unistd.h>

namespace jackdawwall {
namespace {

void wake(Waiters& waiters, CallId id, Reason reason)
{
    const auto found = waiters.find(id);
    if (found == waiters.end())
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

void wakeReleased(Waiters& waiters, const Release& release)
{
    for (const CallId id : release.started)
        wake(waiters, id, Reason::None);
    for (const RefusedCall& refused : release.refused)
        wake(waiters, refused.id, refused.reason);
}

} // namespace jackdawwall
