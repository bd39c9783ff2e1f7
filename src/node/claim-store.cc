#include "node/claim-store.h"

#include "adapter/log.h"
#include "jackdawwall/core.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <memory>
#include <random>

namespace jackdawwall {
namespace {

constexpr const char* kClaimPrefix = "claims/";
constexpr std::int64_t kBucketSeconds = 3600;
/// How long a claim is kept after its request id has become invalid, since the clocks of nodes may differ.
constexpr absl::Duration kRemovalDelay = absl::Hours(1);

std::int64_t bucketOf(absl::Time time)
{
    return absl::ToUnixSeconds(time) / kBucketSeconds;
}

std::string claimKey(absl::string_view requestId, absl::Time time)
{
    // Two hashes, 128 bits in total, make a collision of different ids negligible.
    const std::uint64_t first = stableHash(requestId);
    const std::uint64_t second = stableHash(absl::StrCat(requestId, "#"));
    return absl::StrCat(kClaimPrefix, bucketOf(time), "/", absl::Hex(first, absl::kZeroPad16),
        absl::Hex(second, absl::kZeroPad16));
}

/// Returns a random id that identifies this attempt among all attempts of all processes.
std::string makeHolderId()
{
    std::random_device device;
    std::string holderId;
    for (int part = 0; part < 4; ++part)
        absl::StrAppend(&holderId, absl::Hex(device(), absl::kZeroPad8));
    return holderId;
}

/// Reads the claim after a write with an unknown result, to find out whether this attempt created it.
void resolveUnknownWrite(const ObjectApi& objects, Claim claim, const std::string& holderId,
    const std::function<void(const Claim&)>& done)
{
    objects.read(claim.key, [claim, holderId, done](const absl::StatusOr<StoredObject>& stored) mutable {
        if (stored.ok()) {
            claim.version = stored->version;
            claim.result = stored->value == holderId ? ClaimResult::Claimed : ClaimResult::Duplicate;
        }
        done(claim);
    });
}

bool isBucketExpired(const std::string& key, absl::Time now)
{
    const std::vector<std::string> parts = absl::StrSplit(key, '/');
    std::int64_t bucket = 0;
    if (parts.size() != 3 || !absl::SimpleAtoi(parts[1], &bucket))
        return false;
    const absl::Time bucketEnd = absl::FromUnixSeconds((bucket + 1) * kBucketSeconds);
    return bucketEnd + kRequestIdValidity + kRemovalDelay < now;
}

/// Removes claims one at a time, so as not to use up the call rate of the platform.
void removeSequentially(const ObjectApi& objects, const std::shared_ptr<std::vector<StoredObject>>& claims,
    int removed, const std::function<void(int)>& done)
{
    if (claims->empty()) {
        done(removed);
        return;
    }
    const StoredObject claim = claims->back();
    claims->pop_back();
    objects.remove(claim.key, claim.version, [objects, claims, removed, done](const absl::Status& status) {
        removeSequentially(objects, claims, removed + (status.ok() ? 1 : 0), done);
    });
}

} // namespace

absl::Time requestIdTime(absl::string_view requestId)
{
    const std::size_t dash = requestId.find('-');
    std::int64_t seconds = 0;
    if (requestId.empty() || requestId.front() != 't' || dash == absl::string_view::npos
        || !absl::SimpleAtoi(requestId.substr(1, dash - 1), &seconds) || seconds < 0)
        return absl::InfinitePast();
    return absl::FromUnixSeconds(seconds);
}

void claimRequest(const ObjectApi& objects, absl::string_view requestId, absl::Time now,
    std::function<void(const Claim&)> done)
{
    Claim claim;
    const absl::Time time = requestIdTime(requestId);
    if (time < now - kRequestIdValidity || time > now + kRequestIdLead) {
        claim.result = ClaimResult::InvalidId;
        done(claim);
        return;
    }
    claim.key = claimKey(requestId, time);
    const std::string holderId = makeHolderId();
    objects.write(claim.key, holderId, 0,
        [objects, claim, holderId, done = std::move(done)](
            const absl::StatusOr<ObjectVersion>& written) mutable {
            if (written.ok()) {
                claim.result = ClaimResult::Claimed;
                claim.version = *written;
                done(claim);
            } else if (absl::IsAborted(written.status()) || absl::IsDataLoss(written.status())) {
                resolveUnknownWrite(objects, claim, holderId, done);
            } else {
                done(claim);
            }
        });
}

void releaseClaim(const ObjectApi& objects, const Claim& claim)
{
    if (claim.result != ClaimResult::Claimed)
        return;
    objects.remove(claim.key, claim.version, [key = claim.key](const absl::Status& status) {
        if (!status.ok())
            logEvent(LogLevel::Info, "claim-kept", { { "key", key }, { "error", status.ToString() } });
    });
}

void removeExpiredClaims(const ObjectApi& objects, absl::Time now, std::function<void(int)> done)
{
    objects.list(kClaimPrefix, "",
        [objects, now, done = std::move(done)](absl::StatusOr<std::vector<StoredObject>> claims) {
            if (!claims.ok()) {
                logEvent(LogLevel::Info, "claims-not-removed", { { "error", claims.status().ToString() } });
                done(0);
                return;
            }
            std::erase_if(
                *claims, [&](const StoredObject& claim) { return !isBucketExpired(claim.key, now); });
            removeSequentially(
                objects, std::make_shared<std::vector<StoredObject>>(*std::move(claims)), 0, done);
        });
}

} // namespace jackdawwall
