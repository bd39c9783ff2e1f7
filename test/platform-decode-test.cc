// Decoders of the platform's documents: valid input, rejected input, and seeded mutations of valid input.
#include "decode.h"

#include "adapter/json-reader.h"
#include "adapter/key-digest.h"
#include "relay/peer-message.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace jackdawwall;
using jackdawwall::platform::decodeConfiguration;
using jackdawwall::platform::decodeTargetMessage;
using jackdawwall::relay::TargetMessage;

namespace {

constexpr char kConfiguration[]
    = R"({"version":7,"routes":[{"name":"a","host":"A.example","prefix":"/x/","kind":"unsafe","timeout_ms":1500,)"
      R"("goal_ms":2000,"priority":0,"service":"s1","attempts":2},{"name":"b","host":"b.example","prefix":"/y/",)"
      R"("kind":"safe","timeout_ms":1200,"goal_ms":1500,"priority":9,"split":[{"service":"s1","weight":90},)"
      R"({"service":"s2","weight":10}],"attempts":2}],"services":[{"name":"s1","health_path":"/h"}],)"
      R"("limits":{"max_header_bytes":100,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

constexpr char kCustomers[]
    = R"({"version":7,"routes":[{"name":"a","host":"a.example","prefix":"/","kind":"safe","timeout_ms":1500,)"
      R"("service":"s1","public":true},{"name":"b","host":"b.example","prefix":"/","kind":"safe",)"
      R"("timeout_ms":1500,"service":"s1","public":false}],"tenants":[{"name":"small",)"
      R"("api_keys":["secret-1","secret-2","secret-1"],"priority":9,"rate_per_s":2.5,"burst":4},)"
      R"({"name":"large","api_keys":["secret-3"]},{"name":"none","api_keys":[]}]})";

constexpr char kHeartbeat[]
    = R"({"service":"s1","address":"10.0.0.9:80","zone":"z","version":"v1","capacity":36,)"
      R"("state":"ready","cold_left_ms":500,"sequence":4,"born":1790030755000})";

relay::Request makeRequest(const std::string& call, const std::string& body)
{
    relay::Request request { relay::http::verb::post, "/jackdawwall/rpc?call=instances." + call, 11 };
    request.body() = body;
    return request;
}

struct InvalidMessage {
    const char* call;
    const char* body;
};

std::ostream& operator<<(std::ostream& out, const InvalidMessage& invalid)
{
    return out << invalid.call << " " << invalid.body;
}

const InvalidMessage kInvalidMessages[] = {
    { "heartbeat&of=i-1", "" },
    { "heartbeat&of=i-1", "[]" },
    { "heartbeat&of=i-1", "{\"state\":\"ready\"" },
    { "heartbeat&of=i-1", R"({"service":"s1","state":"ready"})" },
    { "heartbeat&of=i-1", R"({"service":"s1","state":"well","sequence":4})" },
    { "heartbeat&of=i-1", R"({"service":"s1","state":7,"sequence":4})" },
    { "heartbeat&of=i-1", R"({"service":"s1","state":"ready","sequence":"4"})" },
    { "heartbeat&of=i-1", R"({"service":"s1","state":"ready","sequence":-4})" },
    { "heartbeat&of=i-1", R"({"service":"s1","state":"ready","sequence":4,"born":"x"})" },
    { "heartbeat&of=i-1", R"({"service":"s1","state":"ready","sequence":4,"capacity":[]})" },
    { "heartbeat&of=i-1", R"({"service":{},"state":"ready","sequence":4})" },
    { "heartbeat&of=", kHeartbeat },
    { "other&of=i-1", kHeartbeat },
    { "leave&of=i-1", R"({"born":{}})" },
    { "leave&of=i-1", R"({"born":0})" },
    { "leave&of=i-1", R"({"born":null})" },
    { "leave&of=i-1", R"({"born":)" },
    { "leave&of=i-1", "[]" },
    { "leave&of=i-1", "gone" },
};

/// A heartbeat in which a field is replaced; an empty value removes the field.
std::string heartbeatWith(const std::string& key, const std::string& value)
{
    std::vector<Finding> findings;
    Json::Value heartbeat = *parseJson({ "heartbeat", kHeartbeat, &findings });
    heartbeat.removeMember(key);
    std::string text = canonicalJson(heartbeat);
    if (!value.empty())
        text.insert(1, "\"" + key + "\":" + value + ",");
    return text;
}

const char* const kHeartbeatFields[]
    = { "service", "address", "zone", "version", "capacity", "state", "cold_left_ms", "sequence", "born" };
/// Values that no field of a heartbeat may have.
const char* const kInvalidValues[] = { "", "null", "true", "[]", "{}", "\"\"", "-1", "1e300", "0.5" };

struct InvalidConfiguration {
    const char* text;
};

std::ostream& operator<<(std::ostream& out, const InvalidConfiguration& invalid)
{
    return out << invalid.text;
}

const InvalidConfiguration kInvalidConfigurations[] = {
    { "" },
    { "7" },
    { "{\"version\":7,\"routes\":[" },
    { R"({"version":"seven"})" },
    { R"({"routes":[]})" },
    { R"({"version":0,"routes":[]})" },
    { R"({"version":7,"routes":[{"name":"a","host":"a","prefix":"/","kind":"safe","service":"s"}]})" },
    { R"({"version":7,"routes":[{"name":"a","prefix":"/","kind":"safe","timeout_ms":1,"service":"s"}]})" },
    { R"({"version":7,"routes":[{"name":"a","host":"a","prefix":"/","kind":"safe","timeout_ms":1}]})" },
    { R"({"version":7,"routes":[{"name":"a","host":"a","prefix":"/","timeout_ms":1,"service":"s"}]})" },
    { R"({"version":7,"routes":[{"name":[],"host":"a"}]})" },
    { R"({"version":7,"routes":[{"name":"a","host":"a","prefix":"/","timeout_ms":"long"}]})" },
    { R"({"version":7,"routes":[],"limits":{"max_body_bytes":-1}})" },
    { R"({"version":7,"routes":[{"name":"a","host":"a","prefix":"/","kind":"safe","timeout_ms":1,"service":"s",)"
      R"("public":1}]})" },
    { R"({"version":7,"routes":[],"tenants":null})" },
    { R"({"version":7,"routes":[],"tenants":{}})" },
    { R"({"version":7,"routes":[],"tenants":["c"]})" },
    { R"({"version":7,"routes":[],"tenants":[{"api_keys":["secret-1"]}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"","api_keys":["secret-1"]}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c\r\nX: y","api_keys":["secret-1"]}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":" c","api_keys":["secret-1"]}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c"}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c","api_keys":"secret-1"}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c","api_keys":{"secret-1":1}}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c","api_keys":{"secret-1":1,"secret-1":2}}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c","api_keys":["secret-1",7]}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c","api_keys":[""]}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c","api_keys":["secret-1" 1.1.secret-1]}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c","api_keys":[],"priority":"1"}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c","api_keys":[],"priority":-1}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c","api_keys":[],"rate_per_s":-1}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c","api_keys":[],"burst":null}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c","api_keys":[]},{"name":"c","api_keys":[]}]})" },
    { R"({"version":7,"routes":[],"tenants":[{"name":"c","api_keys":["secret-1"]},)"
      R"({"name":"d","api_keys":["secret-1"]}]})" },
    { R"({"version":7,"routes":[],"key_salt":"00","tenants":[{"name":"c","key_hashes":[]}]})" },
    { R"({"version":7,"routes":[],)"
      R"("key_salt":"000102030405060708090a0b0c0d0e0f000102030405060708090a0b0c0d0e0f",)"
      R"("tenants":[{"name":"c","key_hashes":["0001"]}]})" },
    { R"({"version":7,"routes":[],)"
      R"("key_salt":"000102030405060708090a0b0c0d0e0f000102030405060708090a0b0c0d0e0f",)"
      R"("tenants":[{"name":"c","key_hashes":[],"api_keys":["secret-1"]}]})" },
};

std::string mutate(std::string text, std::mt19937& generator)
{
    const std::size_t changes = 1 + generator() % 4;
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
        const std::size_t position = generator() % text.size();
        switch (generator() % 4) {
        case 0:
            text[position] = static_cast<char>(generator() % 256);
            break;
        case 1:
            text.erase(position, 1 + generator() % 8);
            break;
        case 2:
            text.insert(position, text.substr(generator() % text.size(), generator() % 16));
            break;
        default:
            text.resize(position);
        }
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(decodesHeartbeat)
{
    const TargetMessage message = decodeTargetMessage(makeRequest("heartbeat&of=i-1", kHeartbeat));
    BOOST_TEST((message.kind == TargetMessage::Kind::Heartbeat));
    BOOST_TEST(message.service == "s1");
    BOOST_TEST(message.heartbeat.lifetime.id == "i-1");
    BOOST_TEST(message.heartbeat.lifetime.startedAt == 1790030755000U);
    BOOST_TEST(message.heartbeat.sequence == 4U);
    BOOST_TEST(message.heartbeat.slots == 36);
    BOOST_TEST((message.heartbeat.coldStartRemaining == absl::Milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(decodesLeaveWithAndWithoutBody)
{
    for (const char* body : { "", R"({"born":5})" }) {
        const TargetMessage message = decodeTargetMessage(makeRequest("leave&of=i-1", body));
        BOOST_TEST((message.kind == TargetMessage::Kind::Leave));
        BOOST_TEST(message.heartbeat.lifetime.id == "i-1");
    }
}

BOOST_DATA_TEST_CASE(rejectsInvalidMessages, boost::unit_test::data::make(kInvalidMessages), invalid)
{
    const TargetMessage message = decodeTargetMessage(makeRequest(invalid.call, invalid.body));
    BOOST_TEST((message.kind == TargetMessage::Kind::Unreadable));
}

// Guards against a message of another writer that passes for a report of the target: without its start, the
// target's lifetime would be taken for a new one that has not left.
BOOST_DATA_TEST_CASE(aHeartbeatNeedsAllItsFields,
    boost::unit_test::data::make(kHeartbeatFields) * boost::unit_test::data::make(kInvalidValues), field,
    value)
{
    const std::string body = heartbeatWith(field, value);
    const std::string valid = absl::StrCat(field, "=", value);
    const TargetMessage message = decodeTargetMessage(makeRequest("heartbeat&of=i-1", body));
    if (valid != "cold_left_ms=0.5" && valid != "cold_left_ms=1e300")
        BOOST_TEST((message.kind == TargetMessage::Kind::Unreadable), body);
}

struct InvalidPeerMessage {
    const char* part; ///< Of a valid message.
    const char* replacement;
};

std::ostream& operator<<(std::ostream& out, const InvalidPeerMessage& invalid)
{
    return out << invalid.part << " -> " << invalid.replacement;
}

const InvalidPeerMessage kInvalidPeerMessages[] = {
    { "\"status\":\"alive\"", "\"status\":\"well\"" },
    { ",\"status\":\"alive\"", "" },
    { "\"isServing\":true,", "" },
    { "\"incarnation\":0,", "" },
    { "\"members\":[", "\"members\":7,\"x\":[" },
    { "\"upTo\":0,", "" },
    { ",\"version\":0", "" },
};

// Guards against half a message of another node: an unknown status would mean alive, and a missing number 0.
BOOST_DATA_TEST_CASE(
    aPeerMessageNeedsAllItsFields, boost::unit_test::data::make(kInvalidPeerMessages), invalid)
{
    relay::PeerMessage message;
    message.runId = "r";
    message.sender.peerAddress = "127.0.0.1:1";
    message.members = { message.sender };
    std::string text = relay::encodePeerMessage(message);
    BOOST_REQUIRE(relay::decodePeerMessage(text).ok());
    const std::string part = invalid.part;
    const std::size_t position = text.find(part);
    BOOST_REQUIRE_MESSAGE(position != std::string::npos, text);
    text.replace(position, part.size(), invalid.replacement);
    BOOST_TEST(!relay::decodePeerMessage(text).ok(), text);
}

BOOST_AUTO_TEST_CASE(decodesConfiguration)
{
    const auto decoded = decodeConfiguration(kConfiguration);
    BOOST_REQUIRE(decoded.ok());
    const RouteTable* table = &decoded->table;
    BOOST_TEST(table->version == 7U);
    const Route* unsplitRoute = matchRoute(*table, "a.example", "/x/1");
    BOOST_REQUIRE(unsplitRoute != nullptr);
    BOOST_TEST(!unsplitRoute->isIdempotent);
    BOOST_TEST(unsplitRoute->attempts == 2);
    BOOST_TEST((unsplitRoute->priority == Priority::Critical));
    BOOST_TEST((unsplitRoute->timeout == absl::Milliseconds(1500)));
    const Route* splitRoute = matchRoute(*table, "b.example", "/y/1");
    BOOST_REQUIRE(splitRoute != nullptr);
    BOOST_TEST(splitRoute->isIdempotent);
    BOOST_TEST(splitRoute->services.size() == 2U);
    BOOST_TEST((splitRoute->priority == Priority::Bulk));
    BOOST_TEST(table->limits.bodyBytes == 1000U);
}

// Guards also against a refusal that logs a key of the refused document.
BOOST_DATA_TEST_CASE(
    rejectsInvalidConfiguration, boost::unit_test::data::make(kInvalidConfigurations), invalid)
{
    const auto decoded = decodeConfiguration(invalid.text);
    BOOST_REQUIRE(!decoded.ok());
    BOOST_TEST(!absl::StrContains(decoded.status().message(), "secret"), decoded.status().message());
}

std::string customerOf(const RouteTable& table, absl::string_view key)
{
    const auto found = table.customerKeys.find(hashKey(table.keySalt, key));
    return found == table.customerKeys.end() ? "" : found->second;
}

void checkCustomers(const RouteTable& table)
{
    BOOST_TEST(customerOf(table, "secret-1") == "small");
    BOOST_TEST(customerOf(table, "secret-2") == "small");
    BOOST_TEST(customerOf(table, "secret-3") == "large");
    BOOST_TEST(customerOf(table, "secret-4").empty());
    BOOST_REQUIRE_EQUAL(table.customers.size(), 3U);
    const CallerEntry& small = table.customers.at("small");
    BOOST_TEST((small.callsPerSecond == 2.5 && small.burst == 4));
    BOOST_TEST((small.priority == Priority::Bulk));
    const CallerEntry& large = table.customers.at("large");
    BOOST_TEST((large.callsPerSecond == 0 && large.burst == 0 && !large.priority));
    BOOST_TEST(matchRoute(table, "a.example", "/")->isPublic);
    BOOST_TEST(!matchRoute(table, "b.example", "/")->isPublic);
}

// Guards against a key in a message between nodes, and against nodes that accept different keys.
BOOST_AUTO_TEST_CASE(aPeerDocumentHoldsHashesOfTheKeys)
{
    const auto fromStore = decodeConfiguration(kCustomers);
    BOOST_REQUIRE(fromStore.ok());
    checkCustomers(fromStore->table);
    const std::string& document = fromStore->peerDocument;
    BOOST_TEST(!document.empty());
    BOOST_TEST(!absl::StrContains(document, "secret"), document);
    BOOST_TEST(!absl::StrContains(document, "api_keys"), document);
    const auto fromNode = decodeConfiguration(document);
    BOOST_REQUIRE(fromNode.ok());
    checkCustomers(fromNode->table);
    BOOST_TEST(fromNode->peerDocument.empty()); // Passed on as received.
    const auto again = decodeConfiguration(kCustomers);
    BOOST_REQUIRE(again.ok());
    BOOST_TEST((again->table.keySalt != fromStore->table.keySalt));
}

BOOST_AUTO_TEST_CASE(aDocumentWithoutCustomersIsPassedOnUnchanged)
{
    for (const char* text : { kConfiguration, R"({"version":7,"routes":[],"tenants":[]})" }) {
        const auto decoded = decodeConfiguration(text);
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST(decoded->peerDocument.empty());
        BOOST_TEST(decoded->table.customers.empty());
    }
}

BOOST_DATA_TEST_CASE(decodersSurviveMutatedInput, boost::unit_test::data::xrange(8), seed)
{
    std::mt19937 generator(static_cast<unsigned>(seed));
    relay::PeerMessage peer;
    peer.runId = "r";
    peer.sender.peerAddress = "127.0.0.1:1";
    peer.members = { peer.sender };
    const std::string peerText = relay::encodePeerMessage(peer);
    BOOST_REQUIRE(relay::decodePeerMessage(peerText).ok());
    for (int round = 0; round < 2000; ++round) {
        BOOST_REQUIRE_NO_THROW(
            decodeTargetMessage(makeRequest("heartbeat&of=i", mutate(kHeartbeat, generator))));
        BOOST_REQUIRE_NO_THROW(
            static_cast<void>(decodeConfiguration(mutate(kConfiguration, generator)).ok()));
        BOOST_REQUIRE_NO_THROW(static_cast<void>(decodeConfiguration(mutate(kCustomers, generator)).ok()));
        BOOST_REQUIRE_NO_THROW(static_cast<void>(relay::decodePeerMessage(mutate(peerText, generator)).ok()));
    }
}
