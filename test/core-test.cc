#include "jackdawwall/core.h"

#include "absl/strings/str_cat.h"
#include "test/table.h"

#include <array>
#include <vector>

namespace jackdawwall {
namespace {

BOOST_AUTO_TEST_CASE(everyOutcomeAndReasonHasAText)
{
    for (int value = 0; value < 4; ++value) {
        const auto outcome = static_cast<Outcome>(value);
        BOOST_TEST((outcomeFromText(toText(outcome)) == outcome));
        BOOST_TEST((priorityFromText(toText(static_cast<Priority>(value))) == static_cast<Priority>(value)));
    }
    for (int value = 0; value <= static_cast<int>(Reason::Cancelled); ++value) {
        const auto reason = static_cast<Reason>(value);
        BOOST_TEST((reasonFromText(toText(reason)) == reason));
    }
    BOOST_TEST(!outcomeFromText("perhaps").has_value());
    BOOST_TEST(!reasonFromText("").has_value());
}

BOOST_AUTO_TEST_CASE(hashIsTheSameInEveryProcess)
{
    BOOST_TEST(stableHash("") == 14695981039346656037ULL);
    BOOST_TEST(stableHash("a") == 12638187200555641996ULL);
}

BOOST_AUTO_TEST_CASE(ranksAreDistributedEvenly)
{
    constexpr int kRequests = 256 * 200;
    std::array<int, kRankCount> counts {};
    for (int request = 0; request < kRequests; ++request)
        ++counts.at(requestRank(absl::StrCat("t1796374104-", request)));
    for (const int count : counts) {
        // The tolerance is six standard deviations of a uniform distribution.
        BOOST_TEST(count > 200 - 85);
        BOOST_TEST(count < 200 + 85);
    }
}

} // namespace
} // namespace jackdawwall
