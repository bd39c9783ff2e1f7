#include "jackdawwall/rate-limit.h"

#include "test/table.h"

#include <vector>

namespace jackdawwall {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

struct RateRow {
    const char* name;
    double limit;
    int calls; ///< In 10 s.
    int minimum;
    int maximum;
};

BOOST_AUTO_TEST_CASE(enforcesTheLimitOfACaller)
{
    const std::vector<RateRow> table { { "below the limit", 100, 500, 500, 500 },
        { "ten times the limit", 100, 10000, 1000, 1051 }, { "no limit", 0, 10000, 10000, 10000 },
        { "less than one per second", 0.5, 1000, 5, 6 } };
    test::forEachRow(table, [](const RateRow& row) {
        RateLimitState state;
        int admitted = 0;
        for (int call = 0; call < row.calls; ++call)
            admitted
                += tryAcquireCall(state, 1, row.limit, kStart + absl::Seconds(10) * call / row.calls) ? 1 : 0;
        BOOST_TEST(admitted >= row.minimum);
        BOOST_TEST(admitted <= row.maximum);
    });
}

} // namespace
} // namespace jackdawwall
