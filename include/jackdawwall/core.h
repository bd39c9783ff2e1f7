/// Basic types shared by all decision code: outcomes, reasons, priorities and stable hashes.
#pragma once

#include "absl/strings/string_view.h"

#include <cstdint>
#include <optional>

namespace jackdawwall {

/// What a caller can conclude about its call.
enum class Outcome : std::uint8_t {
    Ok, ///< The target sent a complete response.
    NotRun, ///< The call provably did not run.
    Failed, ///< The call ran and failed, or was invalid.
    Unknown, ///< The call may have run.
};

/// Why a call ended without a complete response.
enum class Reason : std::uint8_t {
    None,
    Overload,
    CallerLimit,
    RetryLimit,
    Deadline,
    Leaving,
    NoTarget,
    Unreachable,
    TargetShed,
    TargetFailed,
    ConnectionLost,
    Truncated,
    Timeout,
    Duplicate,
    PlatformUnavailable,
    BadRequest,
    Cancelled,
    ResponseTooLarge,
    KeyWithdrawn,
    TargetLimit, ///< Over the limit that the target names itself.
};

/// Text used in response headers, logs and metrics, e.g. "not-run".
absl::string_view toText(Outcome outcome);
/// Text used in response headers, logs and metrics, e.g. "caller-limit".
absl::string_view toText(Reason reason);
/// Inverse of toText; empty if the text is not the name of an outcome.
std::optional<Outcome> outcomeFromText(absl::string_view text);
/// Inverse of toText; empty if the text is not the name of a reason.
std::optional<Reason> reasonFromText(absl::string_view text);

/// Priority class of work from the catalogue; lower values are shed last.
enum class Priority : std::uint8_t {
    Critical, ///< Bookings and greasing entries.
    Interactive, ///< Reads that a user is waiting for.
    Browse, ///< Catalogue browsing.
    Bulk, ///< Bulk reads and uploads.
};
inline constexpr std::size_t kPriorityCount = 4;

/// "critical", "interactive", "browse" or "bulk".
absl::string_view toText(Priority priority);
/// Inverse of toText; empty for any other text.
std::optional<Priority> priorityFromText(absl::string_view text);

/// Ranks lie in [0, kRankCount); calls whose rank is below the admitted fraction are served.
inline constexpr std::uint32_t kRankCount = 256;

/// FNV-1a, 64 bit. The value is the same in every process, so nodes agree on it without communication.
std::uint64_t stableHash(absl::string_view text);

/// Mixes the bits of a stable hash (finaliser of SplitMix64).
std::uint64_t mixBits(std::uint64_t value);

/// Rank of a request. It is the same at each hop, so that no node does work for a request that another node
/// refuses for its rank.
std::uint32_t requestRank(absl::string_view requestId);

} // namespace jackdawwall
