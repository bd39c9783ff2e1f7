#include "relay/store-sync.h"

#include "adapter/json-reader.h"
#include "adapter/log.h"
#include "jackdawwall/watcher-selection.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <limits>

namespace jackdawwall::relay {
namespace {

/// How often a node that does not watch checks whether it has become one of the watchers.
constexpr absl::Duration kWatcherCheckInterval = absl::Milliseconds(250);
/// How long a starting node waits for its registration before it reads the configuration.
constexpr absl::Duration kRegistrationTime = absl::Seconds(1);
/// How long a node without a configuration waits for other nodes to send one.
constexpr absl::Duration kPeerConfigurationTime = absl::Milliseconds(500);
constexpr absl::Duration kStaleReadInterval = absl::Milliseconds(500);
constexpr int kMaxStaleReads = 6;
/// Consecutive failures after which this node reports that it can't reach the store.
constexpr int kFailuresToReport = 2;
constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(200);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(1);
constexpr int kMaxDoublings = 6;
/// Mean time between two of the registrations that all nodes repeat.
constexpr absl::Duration kRegistrationSpacing = absl::Milliseconds(10);

/// A node's record in the store.
struct NodeRecord {
    Member member;
    StoreEra era = 0; ///< In which it was written; 0: not known.
};

/// Decodes a node's record; logs and returns nothing if any part of it is invalid.
std::optional<NodeRecord> decodeRecord(const StoredItem& item)
{
    std::vector<Finding> findings;
    const JsonSource source { item.name, item.content, &findings };
    const auto value = parseJson(source);
    NodeRecord record;
    Member& member = record.member;
    if (value) {
        JsonReader reader(source, *value, "");
        member.peerAddress = reader.address("address", "");
        member.service = reader.text("service", "");
        member.dataCentre = reader.text("dataCentre", "");
        member.operatorAddress = reader.text("operator", "");
        member.leftTarget = reader.text("leftTarget", "");
        member.leftStartedAt = static_cast<std::uint64_t>(
            reader.integer("leftStartedAt", 0, 0, std::numeric_limits<std::int64_t>::max()));
        record.era = static_cast<StoreEra>(
            reader.integer("storeEra", 0, 0, std::numeric_limits<std::int64_t>::max()));
        if (member.peerAddress.empty())
            reader.addFinding("address", "is missing");
        if (member.leftTarget.empty() != (member.leftStartedAt == 0))
            reader.addFinding("leftTarget", "needs leftStartedAt, and the reverse");
    }
    if (!findings.empty()) {
        logEvent(LogLevel::Warning, "node-record-unreadable",
            { { "name", item.name }, { "revision", item.revision }, { "error", formatFindings(findings) } });
        return std::nullopt;
    }
    member.incarnation = item.revision;
    member.isServing = false; // Until its first message reports a ready target.
    return record;
}

} // namespace

StoreSync::StoreSync(RelayState& state, const PlatformPort& port, StoreSyncEvents events)
    : state_(state)
    , port_(port)
    , events_(std::move(events))
    , runId_(absl::StrCat(absl::Hex(state.decisions.generator())))
{
}

void StoreSync::start()
{
    if (port_.store.observeEra)
        port_.store.observeEra(guard_.wrap([this](StoreEra era) { applyEra(era); }));
    registerNode();
    if (state_.settings.watchers == 0)
        startFollowing();
    else
        runAfter(kRegistrationTime, [this] { startFollowing(); });
}

void StoreSync::applyEra(StoreEra era)
{
    if (era <= state_.storeEra)
        return;
    const StoreEra before = std::exchange(state_.storeEra, era);
    if (before == 0)
        return;
    logEvent(LogLevel::Warning, "store-restored", { { "era", era }, { "before", before } });
    storedLeave_.reset();
    scheduleRegistration();
    // Changes may have been given revisions that the watch takes for reported.
    ++followRun_;
    if (isFollowing_)
        followConfiguration();
    events_.onRestored();
}

void StoreSync::runAfter(absl::Duration delay, std::function<void()> step)
{
    auto timer = std::make_shared<asio::steady_timer>(state_.loop, absl::ToChronoMicroseconds(delay));
    timer->async_wait(guard_.wrap([timer, step = std::move(step)](beast::error_code error) {
        if (!error)
            step();
    }));
}

void StoreSync::recordCall(absl::string_view call, absl::Time startedAt, const absl::Status& status)
{
    const absl::Time now = steadyNow();
    state_.metrics.countStoreCall(call, status.ok() ? "ok" : absl::StatusCodeToString(status.code()));
    if (status.ok()) {
        lastResponseAt_ = now;
        return;
    }
    logEvent(LogLevel::Warning, "store-call-failed",
        { { "call", call }, { "error", status.ToString() },
            { "after_ms", absl::ToInt64Milliseconds(now - startedAt) },
            { "since_response_ms", absl::ToInt64Milliseconds(now - lastResponseAt_) },
            { "config", state_.configuration.version } });
}

void StoreSync::recordFailure(const absl::Status& status)
{
    if (storeFailures_++ == 0)
        logEvent(LogLevel::Warning, "store-lost", { { "error", status.ToString() } });
    if (storeFailures_ == kFailuresToReport && std::exchange(state_.canReachStore, false))
        events_.onReachabilityChanged();
}

void StoreSync::recordSuccess(StoreRevision revision)
{
    if (std::exchange(storeFailures_, 0) > 0)
        logEvent(LogLevel::Info, "store-regained", { { "revision", revision } });
    if (!std::exchange(state_.canReachStore, true))
        events_.onReachabilityChanged();
}

void StoreSync::retryLater(int& failures, const absl::Status& status, std::function<void()> attempt)
{
    recordFailure(status);
    const absl::Duration delay = std::min(
        kMaxRetryDelay, kInitialRetryDelay * static_cast<double>(1 << std::min(failures, kMaxDoublings)));
    ++failures;
    runAfter(delay, std::move(attempt));
}

std::string StoreSync::encodeNodeRecord(const std::string& previous) const
{
    Member self = localMember(state_);
    const auto replaced
        = previous.empty() ? std::nullopt : decodeRecord({ state_.settings.process, 0, previous, false });
    if (replaced && replaced->member.peerAddress == self.peerAddress) // Nodes may share a record.
        keepNewerLeave(self, replaced->member);
    Json::Value value;
    value["address"] = self.peerAddress;
    value["service"] = self.service;
    value["dataCentre"] = self.dataCentre;
    value["run"] = runId_;
    if (state_.storeEra > 0)
        value["storeEra"] = Json::UInt64(state_.storeEra);
    if (!self.operatorAddress.empty())
        value["operator"] = self.operatorAddress;
    if (!self.leftTarget.empty()) {
        value["leftTarget"] = self.leftTarget;
        value["leftStartedAt"] = Json::UInt64(self.leftStartedAt);
    }
    return canonicalJson(value);
}

void StoreSync::updateNodeRecord(std::function<void(absl::StatusOr<StoredItem>)> done)
{
    auto written = std::make_shared<std::string>();
    port_.store.update(
        port_.nodeKind, state_.settings.process,
        [this, written, lifetime = guard_.lifetime()](const std::string& previous) {
            return lifetime.expired() ? previous : *written = encodeNodeRecord(previous);
        },
        guard_.wrap([this, written, era = state_.storeEra, done = std::move(done)](
                        const absl::StatusOr<StoredItem>& stored) {
            if (stored.ok()) {
                const auto record = decodeRecord({ state_.settings.process, 0, *written, false });
                const bool mayBeLost = era != 0 && era != state_.storeEra;
                storedLeave_ = record && !record->member.leftTarget.empty() && !mayBeLost
                    ? std::optional(Lifetime { record->member.leftTarget, record->member.leftStartedAt })
                    : std::nullopt;
                // A record that tells no era can't be told from one of a copy later.
                isRegistrationDue_ = isRegistrationDue_ || (record && record->era < state_.storeEra);
            }
            done(stored);
        }));
}

void StoreSync::scheduleRegistration()
{
    isRegistrationDue_ = true;
    if (isRegistering_)
        return;
    const auto members = static_cast<double>(state_.decisions.membership.members.size());
    const double share = static_cast<double>(state_.decisions.generator() >> 11U) * 0x1p-53;
    const bool hasLeave = state_.target.lastLeft.has_value();
    runAfter(hasLeave ? absl::ZeroDuration() : kRegistrationSpacing * members * share, [this] {
        if (isRegistrationDue_ && !isRegistering_)
            registerNode();
    });
}

void StoreSync::registerNode()
{
    isRegistering_ = true;
    isRegistrationDue_ = false;
    updateNodeRecord([this, startedAt = steadyNow()](const absl::StatusOr<StoredItem>& stored) {
        recordCall("register", startedAt, stored.status());
        if (!stored.ok()) {
            retryLater(nodeFailures_, stored.status(), [this] { registerNode(); });
            return;
        }
        nodeFailures_ = 0;
        isRegistering_ = false;
        recordSuccess(stored->revision);
        onRegistration(*stored);
    });
}

void StoreSync::onRegistration(const StoredItem& stored)
{
    const bool isFirst = registeredRevision_ == 0;
    registeredRevision_ = stored.revision;
    applyPreviousRecord(stored, isFirst);
    if (isFirst) // Later, the other nodes are known.
        listNodes(0);
    if (isRegistrationDue_)
        registerNode();
    else
        onRecordWritten();
}

/// Applies the record that the registration replaced. One that can't be decoded leaves the history unknown.
void StoreSync::applyPreviousRecord(const StoredItem& stored, bool isOfEarlierProcess)
{
    const bool isFirst = stored.content.empty();
    const auto record = isFirst ? std::nullopt : decodeRecord({ stored.name, 0, stored.content, false });
    const Member* previous = record ? &record->member : nullptr;
    std::optional<Lifetime> left;
    if (previous != nullptr && !previous->leftTarget.empty())
        left = Lifetime { previous->leftTarget, previous->leftStartedAt };
    if (isOfEarlierProcess && record && record->era != 0 && record->era < state_.storeEra)
        events_.onOutdatedRecord();
    if (isFirst || previous != nullptr)
        events_.onPreviousLeave(left);
    events_.onRegistered(stored.revision);
    // If nodes share a record, the replaced content describes another node.
    if (previous != nullptr && previous->peerAddress != state_.decisions.membership.self)
        events_.onMembers({ *previous });
}

void StoreSync::listNodes(int staleReads)
{
    const bool mayBeStale = staleReads < kMaxStaleReads;
    port_.store.list(port_.nodeKind, mayBeStale ? ReadConsistency::Stale : ReadConsistency::Latest,
        guard_.wrap([this, staleReads, startedAt = steadyNow()](const absl::StatusOr<StoreListing>& listing) {
            recordCall("list-nodes", startedAt, listing.status());
            if (!listing.ok()) {
                retryLater(nodeFailures_, listing.status(), [this, staleReads] { listNodes(staleReads); });
                return;
            }
            nodeFailures_ = 0;
            recordSuccess(listing->revision);
            onNodes(*listing, staleReads);
        }));
}

void StoreSync::onNodes(const StoreListing& listing, int staleReads)
{
    std::vector<Member> members;
    for (const StoredItem& item : listing.items) {
        const auto record = item.isDeleted ? std::nullopt : decodeRecord(item);
        if (record && record->member.peerAddress != state_.decisions.membership.self)
            members.push_back(record->member);
    }
    events_.onMembers(members);
    startFollowing();
    if (listing.revision < registeredRevision_ && staleReads < kMaxStaleReads)
        runAfter(kStaleReadInterval, [this, staleReads] { listNodes(staleReads + 1); });
}

void StoreSync::recordLeave(const Lifetime& left, std::function<void()> onStored)
{
    pendingLeaves_.push_back({ left, std::move(onStored) });
    // The registration writes the leave as well.
    if (isRegistrationDue_ && !isRegistering_)
        registerNode();
    else if (registeredRevision_ > 0 && !isWritingLeave_ && !isRegistering_)
        onRecordWritten();
}

bool StoreSync::isStored(const Lifetime& left) const
{
    return storedLeave_ && storedLeave_->startedAt >= left.startedAt;
}

void StoreSync::onRecordWritten()
{
    std::vector<PendingLeave> stored;
    std::vector<PendingLeave> missing;
    for (PendingLeave& pending : std::exchange(pendingLeaves_, {}))
        (isStored(pending.lifetime) ? stored : missing).push_back(std::move(pending));
    pendingLeaves_ = std::move(missing);
    if (!pendingLeaves_.empty())
        writeLeave();
    for (const PendingLeave& pending : stored)
        pending.onStored();
}

void StoreSync::writeLeave()
{
    isWritingLeave_ = true;
    updateNodeRecord([this, startedAt = steadyNow()](const absl::StatusOr<StoredItem>& result) {
        recordCall("record-leave", startedAt, result.status());
        if (!result.ok()) {
            retryLater(nodeFailures_, result.status(), [this] { writeLeave(); });
            return;
        }
        nodeFailures_ = 0;
        recordSuccess(result->revision);
        isWritingLeave_ = false;
        onRecordWritten();
    });
}

WatcherOptions StoreSync::watcherOptions() const
{
    WatcherOptions options;
    options.watchers = state_.settings.watchers;
    options.applyTime = state_.settings.configurationApplyTime;
    return options;
}

bool StoreSync::isWatcher() const
{
    return jackdawwall::isWatcher(state_.decisions.membership, watcherOptions(), steadyNow());
}

void StoreSync::startFollowing()
{
    if (std::exchange(isFollowing_, true))
        return;
    nextFallbackRead_ = steadyNow() + kPeerConfigurationTime;
    followConfiguration();
}

void StoreSync::followConfiguration()
{
    const bool needsFallback = state_.configuration.version == 0 && steadyNow() >= nextFallbackRead_;
    if (isWatcher() || needsFallback)
        listConfiguration();
    else
        runAfter(kWatcherCheckInterval, unlessRestarted([this] { followConfiguration(); }));
}

std::function<void()> StoreSync::unlessRestarted(std::function<void()> step)
{
    return [this, run = followRun_, step = std::move(step)] {
        if (run == followRun_)
            step();
    };
}

void StoreSync::listConfiguration()
{
    port_.store.list(port_.configurationKind, ReadConsistency::Latest,
        guard_.wrap(
            [this, run = followRun_, startedAt = steadyNow()](const absl::StatusOr<StoreListing>& listing) {
                recordCall("list-configuration", startedAt, listing.status());
                if (run != followRun_)
                    return;
                nextFallbackRead_ = steadyNow() + kPeerConfigurationTime;
                if (!listing.ok()) {
                    retryLater(configurationFailures_, listing.status(),
                        unlessRestarted([this] { followConfiguration(); }));
                    return;
                }
                onListing(*listing);
                watchConfiguration(listing->revision, true);
            }));
}

void StoreSync::watchConfiguration(StoreRevision after, bool isAligned)
{
    if (!isWatcher()) {
        followConfiguration();
        return;
    }
    port_.store.watch(port_.configurationKind, after,
        planWatch(state_.decisions.membership, watcherOptions(), isAligned),
        guard_.wrap([this, after, run = followRun_, startedAt = steadyNow()](
                        const absl::StatusOr<StoreListing>& listing) {
            recordCall("watch", startedAt, listing.status());
            if (run != followRun_)
                return;
            if (listing.ok()) {
                onListing(*listing);
                watchConfiguration(std::max(after, listing->revision), !listing->items.empty());
                return;
            }
            // After a failure, the revision may be of an earlier era.
            if (absl::IsOutOfRange(listing.status()))
                listConfiguration();
            else
                retryLater(configurationFailures_, listing.status(),
                    unlessRestarted([this] { followConfiguration(); }));
        }));
}

void StoreSync::onListing(const StoreListing& listing)
{
    configurationFailures_ = 0;
    recordSuccess(listing.revision);
    for (const StoredItem& item : listing.items) {
        if (item.name == port_.configurationName && !item.isDeleted)
            events_.onConfiguration(item.content);
    }
}

} // namespace jackdawwall::relay
