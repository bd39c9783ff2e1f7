#include "relay/peer-message.h"

#include "adapter/json-reader.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace jackdawwall::relay {
namespace {

constexpr std::array kMemberStatuses { MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Leaving,
    MemberStatus::Dead };

Json::Value encodeMember(const Member& member)
{
    Json::Value value;
    value["address"] = member.peerAddress;
    value["incarnation"] = Json::UInt64(member.incarnation);
    value["status"] = std::string(toText(member.status));
    value["service"] = member.service;
    value["dataCentre"] = member.dataCentre;
    value["isServing"] = member.isServing;
    if (!member.canReachStore)
        value["canReachStore"] = false;
    if (!member.operatorAddress.empty())
        value["operator"] = member.operatorAddress;
    if (!member.leftTarget.empty()) {
        value["leftTarget"] = member.leftTarget;
        value["leftStartedAt"] = Json::UInt64(member.leftStartedAt);
    }
    return value;
}

/// Throws Json::Exception if a value has the wrong type, as do all decoders below.
Member decodeMember(const Json::Value& value)
{
    for (const char* key : { "address", "incarnation", "status", "service", "dataCentre", "isServing" }) {
        if (value[key].isNull())
            throw Json::RuntimeError(absl::StrCat("member without ", key));
    }
    Member member;
    member.peerAddress = value["address"].asString();
    member.incarnation = value["incarnation"].asUInt64();
    const std::string statusText = value["status"].asString();
    const auto status = std::find_if(kMemberStatuses.begin(), kMemberStatuses.end(),
        [&](MemberStatus candidate) { return toText(candidate) == statusText; });
    if (status == kMemberStatuses.end())
        throw Json::RuntimeError(absl::StrCat("unknown status ", statusText));
    member.status = *status;
    member.service = value["service"].asString();
    member.dataCentre = value["dataCentre"].asString();
    member.isServing = value["isServing"].asBool();
    member.canReachStore = value.get("canReachStore", true).asBool();
    member.operatorAddress = value.get("operator", "").asString();
    member.leftTarget = value.get("leftTarget", "").asString();
    member.leftStartedAt = value.get("leftStartedAt", 0).asUInt64();
    if (!isAddress(member.peerAddress))
        throw Json::RuntimeError("member has no valid address");
    return member;
}

PeerMessage decodeMessage(const Json::Value& value)
{
    for (const char* key : { "run", "upTo", "heardUpTo", "version" }) {
        if (value[key].isNull())
            throw Json::RuntimeError(absl::StrCat("message without ", key));
    }
    if (!value["members"].isArray())
        throw Json::RuntimeError("members are not an array");
    PeerMessage message;
    message.runId = value["run"].asString();
    message.uptime = absl::Milliseconds(value.get("uptimeMs", 0).asInt64());
    message.sender = decodeMember(value["from"]);
    for (const Json::Value& member : value["members"])
        message.members.push_back(decodeMember(member));
    message.upTo = value["upTo"].asUInt64();
    message.acknowledgedUpTo = value["heardUpTo"].asUInt64();
    message.version = value["version"].asUInt64();
    message.storeEra = value.get("storeEra", 0).asUInt64();
    message.configuration = value.get("configuration", "").asString();
    return message;
}

} // namespace

std::string encodePeerMessage(const PeerMessage& message)
{
    Json::Value value;
    value["run"] = message.runId;
    value["uptimeMs"] = Json::Int64(absl::ToInt64Milliseconds(message.uptime));
    value["from"] = encodeMember(message.sender);
    value["members"] = Json::Value(Json::arrayValue);
    for (const Member& member : message.members)
        value["members"].append(encodeMember(member));
    value["upTo"] = Json::UInt64(message.upTo);
    value["heardUpTo"] = Json::UInt64(message.acknowledgedUpTo);
    value["version"] = Json::UInt64(message.version);
    if (message.storeEra > 0)
        value["storeEra"] = Json::UInt64(message.storeEra);
    if (!message.configuration.empty())
        value["configuration"] = message.configuration;
    return canonicalJson(value);
}

absl::StatusOr<PeerMessage> decodePeerMessage(const std::string& text)
{
    std::vector<Finding> findings;
    const auto value = parseJson({ "message", text, &findings });
    if (!value || !value->isObject())
        return absl::InvalidArgumentError("not a JSON object");
    try {
        return decodeMessage(*value);
    } catch (const Json::Exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace jackdawwall::relay
