/// Claims that let unrepeatable work run at most once: one object in the platform for each request id,
/// created only if it does not exist. The platform orders all claims, so it matters neither which node asks
/// nor what a paused or restarted node believes.
#pragma once

#include "node/object-api.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace jackdawwall {

/// A request id is good for this long after the time it carries.
inline constexpr absl::Duration kRequestIdValidity = absl::Hours(1);
/// Request ids from further ahead are refused: the caller's clock is wrong.
inline constexpr absl::Duration kRequestIdLead = absl::Minutes(5);

enum class ClaimResult : std::uint8_t {
    Claimed, ///< This call, and no other, may run the work.
    Duplicate, ///< Claimed before: the work may have run.
    Unavailable, ///< The platform can't tell now; the work was not run.
    InvalidId, ///< The id carries no time, or one that is no longer valid.
};

struct Claim {
    ClaimResult result = ClaimResult::Unavailable;
    std::string key;
    ObjectVersion version = 0;
};

/// Time in a request id of the form "t<unix seconds>-<unique>"; InfinitePast when there is none.
absl::Time requestIdTime(absl::string_view requestId);

/// Claims a request id. The claim names this attempt uniquely, to recognise its own write when the answer to
/// it was lost.
void claimRequest(const ObjectApi& objects, absl::string_view requestId, absl::Time now,
    std::function<void(const Claim&)> done);

/// Gives a claim back after proof that the work did not run, so that the caller may try again. Best effort:
/// a claim that stays only turns a later `not-run` into `unknown`.
void releaseClaim(const ObjectApi& objects, const Claim& claim);

/// Removes claims of request ids that are no longer valid; `done` gets how many. Harmless on several nodes.
void removeExpiredClaims(const ObjectApi& objects, absl::Time now, std::function<void(int)> done);

} // namespace jackdawwall
