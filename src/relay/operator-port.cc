#include "relay/operator-port.h"

#include "adapter/json-reader.h"
#include "adapter/log.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>

namespace jackdawwall::relay {
namespace {

Json::Value encodeAdmission(const AdmissionState& admission)
{
    Json::Value value(Json::objectValue);
    value["limit"] = currentLimit(admission.limit);
    value["inFlight"] = inFlight(admission);
    value["waiting"] = Json::UInt64(admission.waiting.size());
    value["refusing"] = admission.share.isOverloaded;
    std::array<std::uint32_t, kPriorityCount> minFractions {};
    minFractions.fill(kRankCount);
    for (const auto& [key, demand] : admission.share.demands) {
        auto& fraction = minFractions.at(static_cast<std::size_t>(key.priority));
        fraction = std::min(fraction, demand.fraction);
    }
    for (std::size_t index = 0; index < kPriorityCount; ++index)
        value["leastAdmittedShare"][std::string(toText(static_cast<Priority>(index)))]
            = static_cast<double>(minFractions.at(index)) / kRankCount;
    return value;
}

Json::Value countMembersByStatus(const MembershipState& membership)
{
    Json::Value value(Json::objectValue);
    for (const auto& [address, record] : membership.members) {
        Json::Value& count = value[std::string(toText(record.member.status))];
        count = count.asUInt() + 1;
    }
    return value;
}

std::string encodeStatus(const RelayState& state)
{
    Json::Value value(Json::objectValue);
    value["process"] = state.settings.process;
    value["service"] = state.settings.service;
    value["dataCentre"] = state.settings.dataCentre;
    value["leaving"] = state.isStopping;
    value["serving"] = isServing(state.target);
    value["catalogueVersion"] = Json::UInt64(state.configuration.version);
    value["catalogueSince"]
        = absl::FormatTime(absl::RFC3339_full, state.configuration.appliedAt, absl::UTCTimeZone());
    value["droppedLogEvents"] = Json::UInt64(droppedLogEvents());
    value["admission"] = encodeAdmission(state.decisions.admission);
    value["members"] = countMembersByStatus(state.decisions.membership);
    return canonicalJson(value) + "\n";
}

std::string encodeMembers(const RelayState& state)
{
    Json::Value list(Json::arrayValue);
    for (const Member& member : allMembers(state.decisions.membership)) {
        Json::Value value(Json::objectValue);
        value["address"] = member.peerAddress;
        value["service"] = member.service;
        value["dataCentre"] = member.dataCentre;
        value["operator"] = member.operatorAddress;
        value["status"] = std::string(toText(member.status));
        value["serving"] = member.isServing;
        value["incarnation"] = Json::UInt64(member.incarnation);
        list.append(value);
    }
    return canonicalJson(list) + "\n";
}

std::string encodeMetrics(const RelayState& state, std::size_t callerConnections)
{
    const auto gauge = [](absl::string_view name, absl::string_view help, auto value) {
        return absl::StrCat(
            "# HELP ", name, " ", help, "\n# TYPE ", name, " gauge\n", name, " ", value, "\n");
    };
    const NodeDecisions& decisions = state.decisions;
    return state.metrics.expose(
        absl::StrCat(gauge("jackdaw_configuration_version", "Version of the configuration in force.",
                         state.configuration.version),
            gauge("jackdaw_limit", "Calls that may be in the own target.",
                currentLimit(decisions.admission.limit)),
            gauge("jackdaw_target_running", "Calls in the own target.", inFlight(decisions.admission)),
            gauge("jackdaw_target_waiting", "Calls that wait for the own target.",
                decisions.admission.waiting.size()),
            gauge("jackdaw_target_serving", "1 when the own target takes new work.",
                isServing(state.target) ? 1 : 0))
        + absl::StrCat(gauge("jackdaw_members", "Members known, the dead included.",
                           decisions.membership.members.size()),
            gauge("jackdaw_caller_connections", "Connections of callers.", callerConnections),
            gauge("jackdaw_held_bytes", "Bytes held for callers and other nodes.", state.held.reserved()),
            gauge("jackdaw_held_caller_bytes", "The part of them held by callers' connections.",
                state.heldForCallers.reserved()),
            gauge("jackdaw_held_response_bytes", "Responses being received, or not read by callers yet.",
                state.bufferedResponses.reserved()),
            gauge("jackdaw_connections_opened", "Connections opened since the start.",
                state.pool.connectionsOpened()),
            gauge("jackdaw_dropped_log_events", "Log events dropped.", droppedLogEvents())));
}

} // namespace

Response respondToOperator(const RelayState& state, std::size_t callerConnections, const Request& request)
{
    const absl::string_view path = fromBeast(request.target());
    if (path == "/status")
        return makeJsonResponse(http::status::ok, encodeStatus(state));
    if (path == "/members")
        return makeJsonResponse(http::status::ok, encodeMembers(state));
    if (path == "/metrics")
        return makeTextResponse(http::status::ok, encodeMetrics(state, callerConnections));
    if (path == "/events")
        return makeTextResponse(http::status::ok, recentLogEvents());
    return makeTextResponse(http::status::not_found, "try /status, /members, /metrics or /events\n");
}

} // namespace jackdawwall::relay
