#include "jackdawwall/catalogue.h"

#include "test/table.h"

#include <string>
#include <vector>

namespace jackdawwall {
namespace {

CatalogueDocument stored(const DesiredEntries& entries, CatalogueVersion changedAfter)
{
    CatalogueDocument document;
    for (const auto& [name, value] : entries)
        document.entries[name] = DocumentEntry { value, changedAfter, changedAfter };
    return document;
}

struct ApplyRow {
    const char* name;
    CatalogueDocument head;
    CatalogueVersion headVersion;
    DesiredEntries desired;
    CatalogueVersion basedOn;
    std::size_t changes;
    std::vector<std::string> conflicts;
};

CatalogueDocument withRemoved(const std::string& name, CatalogueVersion version)
{
    CatalogueDocument document;
    document.removed[name] = version;
    return document;
}

BOOST_AUTO_TEST_CASE(planApplyComparesWithStoredDocument)
{
    const std::vector<ApplyRow> table {
        { "first apply", {}, 0, { { "work/a", "1" } }, 0, 1, {} },
        { "nothing to change", stored({ { "work/a", "1" } }, 3), 5, { { "work/a", "1" } }, 5, 0, {} },
        { "change based on the newest version", stored({ { "work/a", "1" } }, 3), 5, { { "work/a", "2" } }, 5,
            1, {} },
        { "removal based on the newest version", stored({ { "work/a", "1" } }, 3), 5, {}, 5, 1, {} },
        { "old checkout, entry changed since", stored({ { "work/a", "1" } }, 4), 5, { { "work/a", "0" } }, 4,
            0, { "work/a" } },
        { "old checkout, another entry changed since",
            [] {
                CatalogueDocument document = stored({ { "work/a", "1" }, { "work/b", "1" } }, 1);
                document.entries["work/b"].changedAfter = 8;
                return document;
            }(),
            9, { { "work/a", "2" }, { "work/b", "1" } }, 7, 1, {} },
        { "old checkout lacks an entry added since", stored({ { "work/new", "1" } }, 8), 9, {}, 7, 0, {} },
        { "old checkout removes an entry changed since",
            [] {
                CatalogueDocument document = stored({ { "work/a", "1" } }, 1);
                document.entries["work/a"].changedAfter = 8;
                return document;
            }(),
            9, {}, 7, 0, { "work/a" } },
        { "old checkout restores an entry removed since", withRemoved("work/a", 8), 9, { { "work/a", "1" } },
            7, 0, { "work/a" } },
        { "adds an entry again that was removed before", withRemoved("work/a", 3), 9, { { "work/a", "1" } },
            7, 1, {} },
        { "same change by both operators", stored({ { "work/a", "2" } }, 8), 9, { { "work/a", "2" } }, 7, 0,
            {} },
    };
    test::forEachRow(table, [](const ApplyRow& row) {
        const ApplyPlan plan = planApply(row.head, row.headVersion, row.desired, row.basedOn, "apply");
        BOOST_TEST(plan.changes.size() == row.changes);
        std::vector<std::string> conflicts;
        for (const EntryConflict& conflict : plan.conflicts)
            conflicts.push_back(conflict.name);
        BOOST_TEST(conflicts == row.conflicts, boost::test_tools::per_element());
    });
}

BOOST_AUTO_TEST_CASE(consecutiveAppliesOfTwoOperatorsLoseNoChange)
{
    const CatalogueDocument base = stored({ { "caller/a", "1" }, { "caller/b", "1" } }, 1);
    const ApplyPlan first = planApply(base, 2, { { "caller/a", "2" }, { "caller/b", "1" } }, 2, "first");
    BOOST_REQUIRE(first.conflicts.empty());
    // The second operator's write fails because the version changed, so it plans again from the first one's
    // result.
    const ApplyPlan second
        = planApply(first.result, 3, { { "caller/a", "1" }, { "caller/b", "3" } }, 2, "second");
    BOOST_REQUIRE_EQUAL(second.conflicts.size(), 1U);
    BOOST_TEST(second.conflicts.front().name == "caller/a");
    BOOST_TEST(second.result.entries.at("caller/a").value == "2");
}

BOOST_AUTO_TEST_CASE(containsApplyMatchesTheApplyId)
{
    const ApplyPlan plan = planApply({}, 0, { { "work/a", "1" } }, 0, "mine");
    BOOST_TEST(containsApply(plan.result, "mine"));
    BOOST_TEST(!containsApply(plan.result, "other"));
}

BOOST_AUTO_TEST_CASE(olderVersionNeverReplacesNewerOne)
{
    BOOST_TEST(isNewer(2, 1));
    BOOST_TEST(!isNewer(1, 1));
    BOOST_TEST(!isNewer(1, 2));
}

BOOST_AUTO_TEST_CASE(unknownNamesUseTheDefaultEntry)
{
    Catalogue catalogue;
    catalogue.works["default"].priority = Priority::Bulk;
    catalogue.works["default"].attempts = 1;
    catalogue.callers["default"].callsPerSecond = 5;
    BOOST_TEST((findWork(catalogue, "odd").priority == Priority::Bulk));
    BOOST_TEST(findWork(catalogue, "odd").name == "odd");
    BOOST_TEST(findCaller(catalogue, "stranger").callsPerSecond == 5);
    BOOST_TEST(findCaller({}, "stranger").weight == 1);
}

} // namespace
} // namespace jackdawwall
