#include "relay/lease-message.h"

#include "adapter/json-reader.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace jackdawwall::relay {
namespace {

constexpr std::size_t kMaxEntries = 4096;
constexpr std::uint64_t kMaxTokens = 1U << 20;
constexpr double kMaxDemand = 1e9;
/// Leases are at most 1 s; a longer one would weaken the bound that the coordinator keeps.
constexpr std::uint64_t kMaxLeaseMs = 1000;
constexpr std::uint64_t kMaxRetryMs = 120'000;
constexpr std::array<absl::string_view, 3> kStatusTexts { "answered", "not-responsible", "withheld" };

/// The readers below throw Json::Exception if a field is missing or invalid.
const Json::Value& readMember(const Json::Value& object, const char* key)
{
    if (!object.isObject() || !object.isMember(key))
        throw Json::RuntimeError(absl::StrCat("no ", key));
    return object[key];
}

std::uint64_t readInteger(const Json::Value& object, const char* key, std::uint64_t maximum)
{
    const Json::Value& value = readMember(object, key);
    const bool isNumber = value.type() == Json::intValue || value.type() == Json::uintValue;
    if (!isNumber || !value.isUInt64() || value.asUInt64() > maximum)
        throw Json::RuntimeError(absl::StrCat(key, " is not an integer within the limits"));
    return value.asUInt64();
}

std::string readText(const Json::Value& object, const char* key)
{
    const Json::Value& value = readMember(object, key);
    if (!value.isString())
        throw Json::RuntimeError(absl::StrCat(key, " is not a string"));
    return value.asString();
}

bool readBoolean(const Json::Value& object, const char* key)
{
    const Json::Value& value = readMember(object, key);
    if (!value.isBool())
        throw Json::RuntimeError(absl::StrCat(key, " is not a boolean"));
    return value.asBool();
}

double readDemand(const Json::Value& object)
{
    const Json::Value& value = readMember(object, "demand");
    if (!value.isNumeric() || !(value.asDouble() >= 0 && value.asDouble() <= kMaxDemand))
        throw Json::RuntimeError("demand is not a number within the limits");
    return value.asDouble();
}

const Json::Value& readEntries(const Json::Value& message)
{
    const Json::Value& entries = readMember(message, "customers");
    if (!entries.isArray() || entries.size() > kMaxEntries)
        throw Json::RuntimeError("customers are not an array within the limits");
    return entries;
}

constexpr std::uint64_t kAnyInteger = UINT64_MAX;

LeaseRequest decodeRequest(const Json::Value& value)
{
    LeaseRequest request;
    request.number = readInteger(value, "number", kAnyInteger);
    request.epoch = readInteger(value, "epoch", kAnyInteger);
    request.lastGrant = readInteger(value, "lastGrant", kAnyInteger);
    request.waiting = static_cast<std::uint32_t>(readInteger(value, "waiting", kMaxTokens));
    request.held = static_cast<std::uint32_t>(readInteger(value, "held", kMaxTokens));
    request.demand = readDemand(value);
    request.isDeputyRequest = readBoolean(value, "asDeputy");
    return request;
}

LeaseReply decodeReply(const Json::Value& value)
{
    LeaseReply reply;
    const std::string status = readText(value, "status");
    const auto found = std::find(kStatusTexts.begin(), kStatusTexts.end(), status);
    if (found == kStatusTexts.end())
        throw Json::RuntimeError("unknown status");
    reply.status = static_cast<LeaseStatus>(found - kStatusTexts.begin());
    reply.responsible = readText(value, "responsible");
    if (!reply.responsible.empty() && !isAddress(reply.responsible))
        throw Json::RuntimeError("responsible is not an address");
    reply.epoch = readInteger(value, "epoch", kAnyInteger);
    reply.grant = readInteger(value, "grant", kAnyInteger);
    reply.tokens = static_cast<std::uint32_t>(readInteger(value, "tokens", kMaxTokens));
    reply.isExtended = readBoolean(value, "extended");
    reply.lease = absl::Milliseconds(readInteger(value, "leaseMs", kMaxLeaseMs));
    reply.retryAfter = absl::Milliseconds(readInteger(value, "retryMs", kMaxRetryMs));
    return reply;
}

/// Parses the text and applies `decode`; an exception becomes InvalidArgument.
template <typename Result, typename Decode>
absl::StatusOr<Result> decodeMessage(const std::string& text, Decode decode)
{
    std::vector<Finding> findings;
    const auto value = parseJson({ "message", text, &findings });
    if (!value)
        return absl::InvalidArgumentError("not a JSON object");
    try {
        return decode(*value);
    } catch (const Json::Exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace

std::string encodeLeaseRequests(const LeaseRequests& requests)
{
    Json::Value message(Json::objectValue);
    message["from"] = requests.empty() ? "" : requests.front().content.holder;
    message["run"] = Json::UInt64(requests.empty() ? 0 : requests.front().content.run);
    Json::Value& entries = message["customers"] = Json::Value(Json::arrayValue);
    for (const auto& [customer, request] : requests) {
        Json::Value value(Json::objectValue);
        value["name"] = customer;
        value["number"] = Json::UInt64(request.number);
        value["epoch"] = Json::UInt64(request.epoch);
        value["lastGrant"] = Json::UInt64(request.lastGrant);
        value["waiting"] = Json::UInt(std::min<std::uint64_t>(request.waiting, kMaxTokens));
        value["held"] = Json::UInt(std::min<std::uint64_t>(request.held, kMaxTokens));
        // Rounded, because the digits of a double take most of the message.
        value["demand"] = Json::UInt64(std::llround(std::floor(std::min(request.demand, kMaxDemand))));
        value["asDeputy"] = request.isDeputyRequest;
        entries.append(value);
    }
    return canonicalJson(message);
}

absl::StatusOr<LeaseRequests> decodeLeaseRequests(const std::string& text)
{
    return decodeMessage<LeaseRequests>(text, [](const Json::Value& message) {
        const std::string holder = readText(message, "from");
        if (!isAddress(holder))
            throw Json::RuntimeError("from is not an address");
        const std::uint64_t run = readInteger(message, "run", kAnyInteger);
        LeaseRequests requests;
        for (const Json::Value& entry : readEntries(message)) {
            requests.push_back({ readText(entry, "name"), decodeRequest(entry) });
            requests.back().content.holder = holder;
            requests.back().content.run = run;
        }
        return requests;
    });
}

std::string encodeLeaseReplies(const LeaseReplies& replies)
{
    Json::Value message(Json::objectValue);
    Json::Value& entries = message["customers"] = Json::Value(Json::arrayValue);
    for (const auto& [customer, reply] : replies) {
        Json::Value value(Json::objectValue);
        value["name"] = customer;
        value["status"] = std::string(kStatusTexts.at(static_cast<std::size_t>(reply.status)));
        value["responsible"] = reply.responsible;
        value["epoch"] = Json::UInt64(reply.epoch);
        value["grant"] = Json::UInt64(reply.grant);
        value["tokens"] = Json::UInt(std::min<std::uint64_t>(reply.tokens, kMaxTokens));
        value["extended"] = reply.isExtended;
        value["leaseMs"] = Json::UInt64(absl::ToInt64Milliseconds(reply.lease));
        value["retryMs"]
            = Json::UInt64(absl::ToInt64Milliseconds(absl::Ceil(reply.retryAfter, absl::Milliseconds(1))));
        entries.append(value);
    }
    return canonicalJson(message);
}

absl::StatusOr<LeaseReplies> decodeLeaseReplies(const std::string& text)
{
    return decodeMessage<LeaseReplies>(text, [](const Json::Value& message) {
        LeaseReplies replies;
        for (const Json::Value& entry : readEntries(message))
            replies.push_back({ readText(entry, "name"), decodeReply(entry) });
        return replies;
    });
}

} // namespace jackdawwall::relay
