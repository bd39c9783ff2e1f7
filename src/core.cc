#include "jackdawwall/core.h"

#include "absl/strings/string_view.h"

#include <array>

namespace jackdawwall {
namespace {

constexpr std::array<absl::string_view, 4> kOutcomeTexts { "ok", "not-run", "failed", "unknown" };
constexpr std::array<absl::string_view, 20> kReasonTexts { "none", "overload", "caller-limit", "retry-limit",
    "deadline", "leaving", "no-target", "unreachable", "target-shed", "target-failed", "connection-lost",
    "truncated", "timeout", "duplicate", "platform-unavailable", "bad-request", "cancelled",
    "response-too-large", "key-withdrawn", "target-limit" };
constexpr std::array<absl::string_view, kPriorityCount> kPriorityTexts { "critical", "interactive", "browse",
    "bulk" };

template <typename Enum, std::size_t Size>
std::optional<Enum> fromText(const std::array<absl::string_view, Size>& texts, absl::string_view text)
{
    for (std::size_t index = 0; index < Size; ++index) {
        if (texts[index] == text)
            return static_cast<Enum>(index);
    }
    return std::nullopt;
}

} // namespace

absl::string_view toText(Outcome outcome)
{
    return kOutcomeTexts.at(static_cast<std::size_t>(outcome));
}
absl::string_view toText(Reason reason)
{
    return kReasonTexts.at(static_cast<std::size_t>(reason));
}
absl::string_view toText(Priority priority)
{
    return kPriorityTexts.at(static_cast<std::size_t>(priority));
}

std::optional<Outcome> outcomeFromText(absl::string_view text)
{
    return fromText<Outcome>(kOutcomeTexts, text);
}
std::optional<Reason> reasonFromText(absl::string_view text)
{
    return fromText<Reason>(kReasonTexts, text);
}
std::optional<Priority> priorityFromText(absl::string_view text)
{
    return fromText<Priority>(kPriorityTexts, text);
}

std::uint64_t stableHash(absl::string_view text)
{
    constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
    constexpr std::uint64_t kPrime = 1099511628211ULL;
    std::uint64_t hash = kOffsetBasis;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= kPrime;
    }
    return hash;
}

std::uint64_t mixBits(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::uint32_t requestRank(absl::string_view requestId)
{
    return static_cast<std::uint32_t>(mixBits(stableHash(requestId)) % kRankCount);
}

} // namespace jackdawwall
