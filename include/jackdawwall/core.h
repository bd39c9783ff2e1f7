/// Vocabulary shared by every decision: outcomes, reasons, priorities and stable hashes.
#pragma once

#include "absl/strings/string_view.h"

#include <cstdint>
#include <optional>

namespace jackdawwall {

/// What a caller may believe about its call.
enum class Outcome : std::uint8_t {
    Ok, ///< A whole answer of the target.
    NotRun, ///< Proved not to have run.
    Failed, ///< Ran and failed, or was never valid.
    Unknown, ///< May have run.
};

/// Why a call ended without a whole answer.
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
};

/// Text used in answer headers, logs and metrics, e.g. "not-run".
absl::string_view toText(Outcome outcome);
/// Text used in answer headers, logs and metrics, e.g. "caller-limit".
absl::string_view toText(Reason reason);
/// Inverse of toText; empty for text that names no outcome.
std::optional<Outcome> outcomeFromText(absl::string_view text);
/// Inverse of toText; empty for text that names no reason.
std::optional<Reason> reasonFromText(absl::string_view text);

/// Class of work from the catalogue; lower values are shed last.
enum class Priority : std::uint8_t {
    Critical, ///< Bookings and greasing entries.
    Interactive, ///< Reads somebody waits for.
    Browse, ///< Catalogue browsing.
    Bulk, ///< Bulk reads and uploads.
};
inline constexpr std::size_t kPriorityCount = 4;

/// "critical", "interactive", "browse" or "bulk".
absl::string_view toText(Priority priority);
/// Inverse of toText; empty for any other text.
std::optional<Priority> priorityFromText(absl::string_view text);

/// Ranks lie in [0, kRankCount); ranks below the admitted fraction are served.
inline constexpr std::uint32_t kRankCount = 256;

/// FNV-1a, 64 bit: the same value in every process, so that nodes agree without talking.
std::uint64_t stableHash(absl::string_view text);

/// Spreads the bits of a stable hash (finaliser of SplitMix64).
std::uint64_t mixBits(std::uint64_t value);

/// Rank of a request, the same at each hop: a request refused at one is not served at another in vain.
std::uint32_t requestRank(absl::string_view requestId);

} // namespace jackdawwall
