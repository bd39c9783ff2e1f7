/// Claims that make non-idempotent work run at most once. A claim is one object in the platform per request
/// id, created only if it doesn't exist. The platform orders all claims, so the result doesn't depend on
/// which node makes the claim, or on stale state of a paused or restarted node.
#pragma once

#include "node/object-api.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace jackdawwall {

/// How long a request id is valid after the time that it contains.
inline constexpr absl::Duration kRequestIdValidity = absl::Hours(1);
/// How far the time in a request id may lie in the future; beyond that, the caller's clock is considered
/// wrong.
inline constexpr absl::Duration kRequestIdLead = absl::Minutes(5);

enum class ClaimResult : std::uint8_t {
    Claimed, ///< Only this call may run the work.
    Duplicate, ///< The request id was already claimed; the work may have run.
    Unavailable, ///< The platform is unavailable; the work was not run.
    InvalidId, ///< The request id contains no time, or its time is too old or too far in the future.
};

struct Claim {
    ClaimResult result = ClaimResult::Unavailable;
    std::string key;
    ObjectVersion version = 0;
};

/// Returns the time in a request id of the form "t<unix seconds>-<unique>"; InfinitePast for any other form.
absl::Time requestIdTime(absl::string_view requestId);

/// Claims a request id. The claim contains a unique id of this attempt, so that its own write is recognized
/// even when the response to it was lost.
void claimRequest(const ObjectApi& objects, absl::string_view requestId, absl::Time now,
    std::function<void(const Claim&)> done);

/// Removes a claim once it is certain that the work did not run, so that the caller may retry. Best effort: a
/// claim that remains only turns a later `not-run` into `unknown`.
void releaseClaim(const ObjectApi& objects, const Claim& claim);

/// Removes claims of request ids that are no longer valid; `done` receives their number. Safe to run on
/// several nodes at once.
void removeExpiredClaims(const ObjectApi& objects, absl::Time now, std::function<void(int)> done);

} // namespace jackdawwall
