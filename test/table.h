/// Helpers of the parameterised tables: a name for each row, printed when a check in it fails.
#pragma once

#include <boost/test/unit_test.hpp>

#include <string>

namespace jackdawwall::test {

/// Runs `check` on each row of a table; rows have a `name`.
template <typename Table, typename Check> void forEachRow(const Table& table, Check check)
{
    for (const auto& row : table) {
        BOOST_TEST_CONTEXT("row: " << row.name)
        {
            check(row);
        }
    }
}

} // namespace jackdawwall::test
