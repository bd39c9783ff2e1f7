#include "node/claim-store.h"

#include "jackdawwall/core.h"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

namespace jackdawwall {
namespace {

constexpr const char* kClaimPrefix = "claims/";
constexpr std::int64_t kBucketSeconds = 3600;
/// Beyond validity and lead, for nodes whose clocks differ.
constexpr absl::Duration kRemovalDelay = absl::Hours(1);

std::int64_t bucketOf(absl::Time time)
{
    return absl::ToUnixSeconds(time) / kBucketSeconds;
}

std::string claimKey(absl::string_view requestId, absl::Time time)
{
    // Two hashes, 128 bits: different ids never share a claim in practice.
    const std::uint64_t first = stableHash(requestId);
    const std::uint64_t second = stableHash(absl::StrCat(requestId, "#"));
    return absl::StrCat(kClaimPrefix, bucketOf(time), "/", absl::Hex(first, absl::kZeroPad16),
        absl::Hex(second, absl::kZeroPad16));
}

/// After a write whose fate is open: reads who holds the claim.
Claim readBack(const Platform& platform, Claim claim, const std::string& holder)
{
    const absl::StatusOr<StoredObject> stored = platform.read(claim.key);
    if (!stored.ok())
        return claim;
    claim.version = stored->version;
    claim.end = stored->value == holder ? ClaimEnd::Claimed : ClaimEnd::Duplicate;
    return claim;
}

bool isBucketExpired(const std::string& key, absl::Time now)
{
    const std::vector<std::string> parts = absl::StrSplit(key, '/');
    std::int64_t bucket = 0;
    if (parts.size() != 3 || !absl::SimpleAtoi(parts[1], &bucket))
        return false;
    const absl::Time end = absl::FromUnixSeconds((bucket + 1) * kBucketSeconds);
    return end + kRequestIdValidity + kRemovalDelay < now;
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

Claim claimRequest(
    const Platform& platform, absl::string_view requestId, const std::string& holder, absl::Time now)
{
    Claim claim;
    const absl::Time time = requestIdTime(requestId);
    if (time < now - kRequestIdValidity || time > now + kRequestIdLead) {
        claim.end = ClaimEnd::BadId;
        return claim;
    }
    claim.key = claimKey(requestId, time);
    const absl::StatusOr<ObjectVersion> written = platform.write(claim.key, holder, 0);
    if (written.ok()) {
        claim.end = ClaimEnd::Claimed;
        claim.version = *written;
        return claim;
    }
    if (absl::IsAborted(written.status()) || absl::IsDataLoss(written.status()))
        return readBack(platform, claim, holder);
    return claim;
}

void releaseClaim(const Platform& platform, const Claim& claim)
{
    if (claim.end == ClaimEnd::Claimed)
        platform.remove(claim.key, claim.version).IgnoreError();
}

int removeExpiredClaims(const Platform& platform, absl::Time now)
{
    const absl::StatusOr<std::vector<StoredObject>> claims = platform.list(kClaimPrefix, "");
    if (!claims.ok())
        return 0;
    int removed = 0;
    for (const StoredObject& claim : *claims) {
        if (!isBucketExpired(claim.key, now))
            break; // Sorted by bucket.
        removed += platform.remove(claim.key, claim.version).ok() ? 1 : 0;
    }
    return removed;
}

} // namespace jackdawwall
