/// Helper for table-driven tests: prints the name of the row in which a check fails.
#pragma once

#include <boost/test/unit_test.hpp>

#include <string>

namespace jackdawwall::test {

/// Runs `check` on each row of a table. Rows must have a member `name`.
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
