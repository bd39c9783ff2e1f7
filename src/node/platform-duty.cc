#include "node/platform-duty.h"

#include "adapter/catalogue-json.h"
#include "adapter/json-reader.h"
#include "node/claim-store.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <algorithm>

namespace jackdawwall {
namespace {

constexpr std::size_t kWatchers = 5;
constexpr std::size_t kSeedSlots = 4;
constexpr absl::Duration kLongestWatch = absl::Seconds(2);
constexpr absl::Duration kQuietPause = absl::Seconds(1);
constexpr absl::Duration kFirstPause = absl::Milliseconds(100);
constexpr absl::Duration kLongestPause = absl::Seconds(5);
constexpr absl::Duration kSeedInterval = absl::Seconds(30);
constexpr absl::Duration kClaimRemovalInterval = absl::Minutes(10);

/// Spreads calls of many nodes: between half and the whole of `pause`.
absl::Duration jittered(absl::Duration pause, std::uint64_t random)
{
    return pause / 2 + pause / 2 * static_cast<double>(random % 1000) / 1000;
}

} // namespace

std::string writeSeed(const SeedRecord& seed)
{
    Json::Value value(Json::objectValue);
    value["control"] = seed.controlAddress;
    value["operator"] = seed.operatorAddress;
    return canonicalJson(value);
}

SeedRecord readSeed(const std::string& text)
{
    std::vector<Finding> findings;
    const std::optional<Json::Value> value = parseJson({ "seed", text, &findings });
    if (!value || !(*value)["control"].isString() || !(*value)["operator"].isString())
        return {};
    return { (*value)["control"].asString(), (*value)["operator"].asString() };
}

PlatformDuty::PlatformDuty(
    NodeState& node, Gossip& gossip, BoundedRing<CatalogueHint>& hints, std::string operatorAddress)
    : node_(node)
    , gossip_(gossip)
    , hints_(hints)
    , operatorAddress_(std::move(operatorAddress))
{
}

PlatformDuty::~PlatformDuty()
{
    stop();
}

void PlatformDuty::run()
{
    platformThread_ = std::thread([this] { platformLoop(); });
    hintThread_ = std::thread([this] { hintLoop(); });
}

void PlatformDuty::stop()
{
    {
        const absl::MutexLock lock(&mutex_);
        isStopping_ = true;
    }
    hints_.close();
    if (platformThread_.joinable())
        platformThread_.join();
    if (hintThread_.joinable())
        hintThread_.join();
}

bool PlatformDuty::pause(absl::Duration time)
{
    const absl::MutexLock lock(&mutex_);
    return mutex_.AwaitWithTimeout(absl::Condition(&isStopping_), time);
}

bool PlatformDuty::isAlone()
{
    const absl::MutexLock lock(&node_.mutex);
    return node_.decisions.membership.members.size() < 2;
}

std::size_t PlatformDuty::rankAmong(bool onlyOwnDataCentre)
{
    const absl::MutexLock lock(&node_.mutex);
    const MembershipState& membership = node_.decisions.membership;
    const std::uint64_t own = mixBits(stableHash(membership.self));
    std::size_t rank = 0;
    for (const auto& [address, record] : membership.members) {
        const bool counts = !onlyOwnDataCentre || record.member.dataCentre == node_.settings.dataCentre;
        if (counts && record.member.status == MemberStatus::Alive && mixBits(stableHash(address)) < own)
            ++rank;
    }
    return rank;
}

void PlatformDuty::readCatalogue()
{
    const absl::StatusOr<StoredObject> stored = node_.platform.read(kCatalogueKey);
    if (stored.ok() && node_.offerCatalogue(*stored))
        gossip_.kick();
}

void PlatformDuty::findPeers()
{
    std::vector<std::string> addresses = node_.settings.seedAddresses;
    const absl::StatusOr<std::vector<StoredObject>> seeds = node_.platform.list(kSeedPrefix, "");
    if (seeds.ok()) {
        for (const StoredObject& seed : *seeds)
            addresses.push_back(readSeed(seed.value).controlAddress);
    }
    for (const std::string& address : addresses) {
        if (!address.empty() && gossip_.join(address))
            logEvent(LogLevel::Info, "joined", { { "peer", address } });
    }
    if (isAlone())
        logEvent(LogLevel::Warning, "no-peers",
            { { "platform", seeds.ok() ? "up" : seeds.status().message() },
                { "serves", "own-target-only" } });
}

void PlatformDuty::offerSeed()
{
    const std::size_t rank = rankAmong(true);
    if (rank >= kSeedSlots)
        return;
    const std::string key = absl::StrCat(kSeedPrefix, node_.settings.dataCentre, "/", rank);
    const std::string value = writeSeed({ gossip_.address(), operatorAddress_ });
    const absl::StatusOr<StoredObject> stored = node_.platform.read(key);
    if (stored.ok() && stored->value == value)
        return;
    if (!stored.ok() && !absl::IsNotFound(stored.status()))
        return;
    const absl::StatusOr<ObjectVersion> written
        = node_.platform.write(key, value, stored.ok() ? stored->version : 0);
    // Somebody else was faster: that may be the first peer.
    if (absl::IsAborted(written.status()))
        findPeers();
}

void PlatformDuty::watchCatalogue()
{
    const absl::StatusOr<StoredObject> stored
        = node_.platform.watch(kCatalogueKey, node_.catalogue()->version, kLongestWatch);
    if (stored.ok()) {
        if (node_.offerCatalogue(*stored))
            gossip_.kick();
        return;
    }
    if (!absl::IsNotFound(stored.status()))
        pause(kQuietPause);
}

void PlatformDuty::platformLoop()
{
    std::uint64_t random = mixBits(stableHash(node_.peerAddress));
    absl::Duration backoff = kFirstPause;
    absl::Time nextSeed = absl::Now();
    absl::Time nextRemoval = absl::Now() + kClaimRemovalInterval;
    readCatalogue();
    while (!pause(absl::ZeroDuration())) {
        random = mixBits(random);
        if (isAlone()) {
            findPeers();
            readCatalogue();
            offerSeed();
            if (pause(jittered(backoff, random)))
                return;
            backoff = std::min(kLongestPause, backoff * 2);
            continue;
        }
        backoff = kFirstPause;
        const absl::Time now = absl::Now();
        if (now >= nextSeed) {
            offerSeed();
            nextSeed = now + jittered(kSeedInterval, random);
        }
        if (now >= nextRemoval && rankAmong(false) == 0) {
            removeExpiredClaims(node_.platform, now);
            nextRemoval = now + kClaimRemovalInterval;
        }
        if (rankAmong(false) < kWatchers)
            watchCatalogue();
        else
            pause(kQuietPause);
    }
}

void PlatformDuty::hintLoop()
{
    while (const std::optional<CatalogueHint> hint = hints_.pop()) {
        const CatalogueVersion held = node_.catalogue()->version;
        const absl::StatusOr<StoredObject> document = gossip_.fetchCatalogue(hint->controlAddress, held);
        if (document.ok() && node_.offerCatalogue(*document))
            gossip_.kick();
    }
}

} // namespace jackdawwall
