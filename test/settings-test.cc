#include "node/settings.h"

#include "adapter/catalogue-json.h"
#include "test/table.h"

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

namespace jackdawwall {
namespace {

/// A temporary file, removed by the destructor.
struct TemporaryFile {
    explicit TemporaryFile(const std::string& text)
    {
        char name[] = "/tmp/jackdaw-settings-XXXXXX";
        const int descriptor = mkstemp(name);
        BOOST_REQUIRE(descriptor >= 0);
        close(descriptor);
        path = name;
        std::ofstream(path) << text;
    }
    ~TemporaryFile() { std::remove(path.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    std::string path;
};

struct SettingsRow {
    const char* name;
    std::string text;
    std::vector<std::string> findings; ///< Expected findings as "line key".
};

std::vector<std::string> placesOf(const std::vector<Finding>& findings)
{
    std::vector<std::string> places;
    places.reserve(findings.size());
    for (const Finding& finding : findings)
        places.push_back(std::to_string(finding.line) + " " + finding.key);
    return places;
}

BOOST_AUTO_TEST_CASE(reportsEveryFindingWithItsPlace)
{
    const std::vector<SettingsRow> table {
        { "complete, with comments",
            "{\n// where it stands\n\"service\": \"s\", \"dataCentre\": \"d\",\n\"targetAddress\": "
            "\"127.0.0.1:1\" }",
            {} },
        { "several findings",
            "{\n\"service\": 5,\n\"dataCentre\": \"d\",\n\"peerAddress\": "
            "\"localhost:1\",\n\"targetAddress\": "
            "\"127.0.0.1:1\",\n\"leaveDelayMs\": -1,\n\"colour\": \"red\" }",
            { "2 service", "4 peerAddress", "6 leaveDelayMs", "7 colour" } },
        { "required keys", "{ \"targetAddress\": \"127.0.0.1:1\" }", { "1 service", "1 dataCentre" } },
        { "not JSON", "{ \"service\": ", { "1 " } },
        { "duplicate key", "{ \"service\": \"s\", \"service\": \"t\" }", { "1 " } },
    };
    test::forEachRow(table, [](const SettingsRow& row) {
        const TemporaryFile file(row.text);
        std::vector<Finding> findings;
        readNodeSettings(file.path, {}, findings);
        BOOST_TEST(placesOf(findings) == row.findings, boost::test_tools::per_element());
    });
}

BOOST_AUTO_TEST_CASE(commandLineOverridesTheFile)
{
    const TemporaryFile file(
        R"({"service":"s","dataCentre":"d","targetAddress":"127.0.0.1:1","leaveDelayMs":5})");
    std::vector<Finding> findings;
    const NodeSettings settings
        = readNodeSettings(file.path, { "leaveDelayMs=7", "seedAddresses=[\"127.0.0.1:9\"]" }, findings);
    BOOST_TEST(findings.empty());
    BOOST_TEST((settings.leaveDelay == absl::Milliseconds(7)));
    BOOST_TEST(settings.seedAddresses.size() == 1U);
}

BOOST_AUTO_TEST_CASE(missingFileIsReported)
{
    std::vector<Finding> findings;
    readNodeSettings("/nonexistent/settings.json", {}, findings);
    BOOST_TEST(findings.size() == 1U);
}

struct CatalogueRow {
    const char* name;
    std::string text;
    std::vector<std::string> findings;
};

BOOST_AUTO_TEST_CASE(reportsEveryInvalidEntry)
{
    const std::vector<CatalogueRow> table {
        { "valid", R"({"basedOn":0,"entries":{"work/a":{"owner":"o","class":"bulk"}}})", {} },
        { "several",
            "{\"entries\":{\n\"work/a\":{\"class\":\"top\",\"owner\":\"o\"},\n\"caller/"
            "b\":{\"weight\":-1},\n\"thing/c\":{}\n}}",
            { "3 caller/b.owner", "3 caller/b.weight", "4 thing/c", "2 work/a.class" } },
        { "no entries", "{}", { "1 entries" } },
        { "no class", R"({"entries":{"work/a":{"owner":"o"}}})", { "1 work/a.class" } },
    };
    test::forEachRow(table, [](const CatalogueRow& row) {
        std::vector<Finding> findings;
        readCatalogueFile("file", row.text, findings);
        BOOST_TEST(placesOf(findings) == row.findings, boost::test_tools::per_element());
    });
}

BOOST_AUTO_TEST_CASE(examplesAreValid)
{
    for (const char* name : { "prairie", "selenge" }) {
        std::vector<Finding> findings;
        const std::string path = std::string(JACKDAW_SOURCE) + "/examples/" + name + ".catalogue.json";
        const CatalogueFile file = readCatalogueFile(path, readFile(path, findings), findings);
        BOOST_TEST(formatFindings(findings) == "");
        BOOST_TEST(file.entries.size() >= 9U);
    }
}

struct BasedOnRow {
    const char* name;
    std::string text;
    CatalogueVersion version;
    std::string expected;
};

BOOST_AUTO_TEST_CASE(replacesBasedOnInTheFile)
{
    const std::vector<BasedOnRow> table {
        { "one digit", "{ \"basedOn\": 0, // kept\n\"x\": 0 }", 9, "{ \"basedOn\": 9, // kept\n\"x\": 0 }" },
        { "many digits", "{\"basedOn\":12}", 345678, "{\"basedOn\":345678}" },
        { "none", "{}", 9, "{}" },
    };
    test::forEachRow(table,
        [](const BasedOnRow& row) { BOOST_TEST(replaceBasedOn(row.text, row.version) == row.expected); });
}

BOOST_AUTO_TEST_CASE(documentSurvivesSerialization)
{
    const ApplyPlan plan = planApply({}, 7, { { "work/a", R"({"class":"bulk","owner":"o"})" } }, 7, "id");
    std::vector<Finding> findings;
    const auto document = readDocument(writeDocument(plan.result), findings);
    BOOST_REQUIRE(document.has_value());
    BOOST_TEST(document->entries.at("work/a").changedAfter == 7U);
    BOOST_TEST(containsApply(*document, "id"));
    BOOST_TEST((toCatalogue(*document, 8, findings).works.at("a").priority == Priority::Bulk));
    BOOST_TEST(findings.empty());
}

} // namespace
} // namespace jackdawwall
