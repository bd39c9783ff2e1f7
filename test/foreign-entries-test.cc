// Entries of another writer in the platform's store: valid JSON that no decoder of this project accepts.
// Guards against one such entry that hides all others, holds up every later change, or ends the process.
#include "store-fixture.h"

#include <boost/test/data/test_case.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

struct ForeignEntry {
    const char* name;
    std::string content;
};

std::ostream& operator<<(std::ostream& out, const ForeignEntry& entry)
{
    return out << entry.name;
}

constexpr std::size_t kDepth = 5000;

const ForeignEntry kForeignEntries[] = {
    { "nested too deeply", absl::StrCat(std::string(kDepth, '['), std::string(kDepth, ']')) },
    { "nested objects", absl::StrCat(R"({"address":)", std::string(70, '['), std::string(70, ']'), "}") },
    { "a number too large", R"({"address":"127.0.0.1:1","incarnation":1e400})" },
    { "a number with too many digits", R"({"leftStartedAt":12345678901234567890123456,"leftTarget":"t"})" },
    { "a negative number", R"({"address":"127.0.0.1:1","leftStartedAt":-1,"leftTarget":"t"})" },
    { "a port out of range", R"({"address":"127.0.0.1:99999"})" },
    { "fields of other types", R"({"address":["127.0.0.1:1"],"leftTarget":{},"leftStartedAt":"x"})" },
    { "a key twice", R"({"address":"127.0.0.1:1","address":"127.0.0.1:2"})" },
    { "half a surrogate pair", R"({"address":"\ud800"})" },
    { "no fields", "{}" },
    { "no address", R"({"service":"books","dataCentre":"here"})" },
    { "an empty address", R"({"address":"","service":"books"})" },
    { "a leave without its start", R"({"address":"127.0.0.1:1","leftTarget":"t"})" },
    { "a text", "\"text\"" },
    { "null", "null" },
    { "an array", "[1,{\"a\":2}]" },
};

constexpr char kVersion5[] = R"({"version":5,"routes":[]})";
constexpr char kVersion6[] = R"({"version":6,"routes":[]})";

/// Nodes that reach the same store over HTTP.
struct Fleet {
    TestNode& add(const std::string& name)
    {
        clients.push_back(std::make_unique<platform::ObjectStore>(loop, server.address()));
        nodes.push_back(std::make_unique<TestNode>(loop, unused, name, "books", kUnusedAddress));
        usePlatformStore(*nodes.back(), *clients.back());
        return *nodes.back();
    }

    asio::io_context loop;
    MemoryStore unused { loop };
    HttpStore server { loop };
    std::vector<std::unique_ptr<platform::ObjectStore>> clients;
    std::vector<std::unique_ptr<TestNode>> nodes;
};

} // namespace

BOOST_DATA_TEST_CASE(
    followsTheConfigurationBesideAForeignEntry, boost::unit_test::data::make(kForeignEntries), foreign)
{
    Fleet fleet;
    fleet.server.set("configuration", "another", foreign.content);
    fleet.server.set("configuration", "main", kVersion5);
    TestNode& node = fleet.add("n1");
    node.start();
    runUntil(fleet.loop, [&] { return node.node->configurationVersion() == 5; });
    fleet.server.set("configuration", "later", foreign.content);
    fleet.server.set("configuration", "main", kVersion6);
    runUntil(fleet.loop, [&] { return node.node->configurationVersion() == 6; });
}

BOOST_DATA_TEST_CASE(
    findsOtherNodesBesideAForeignEntry, boost::unit_test::data::make(kForeignEntries), foreign)
{
    Fleet fleet;
    fleet.server.set("nodes", "another", foreign.content);
    fleet.server.set("configuration", "main", kVersion5);
    TestNode& first = fleet.add("n1");
    TestNode& second = fleet.add("n2");
    first.start();
    second.start();
    // Exactly these two: no foreign entry of the table names a node.
    runUntil(fleet.loop, [&] { return first.node->memberCount() == 2 && second.node->memberCount() == 2; });
}

BOOST_DATA_TEST_CASE(
    replacesAForeignEntryInPlaceOfItsOwnRecord, boost::unit_test::data::make(kForeignEntries), foreign)
{
    Fleet fleet;
    fleet.server.set("nodes", "n1", foreign.content);
    fleet.server.set("configuration", "main", kVersion5);
    TestNode& first = fleet.add("n1");
    first.start();
    runUntil(fleet.loop, [&] { return first.node->configurationVersion() == 5; });
    TestNode& second = fleet.add("n2");
    second.start();
    runUntil(fleet.loop, [&] { return second.node->memberCount() >= 2 && first.node->memberCount() >= 2; });
}
