#include "relay/operator-port.h"

#include "adapter/json-reader.h"
#include "adapter/log.h"
#include "relay/lease-link.h"

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
    if (admission.rate.callsPerSecond)
        value["targetLimitPerSecond"] = *admission.rate.callsPerSecond;
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

/// What this node assumes of each target that it may send calls to.
std::string encodeWeights(const RelayState& state)
{
    const RoutingState& routing = state.decisions.routing;
    const absl::Time now = steadyNow();
    Json::Value services(Json::objectValue);
    for (const auto& [service, candidates] : state.decisions.subsets) {
        const std::vector<TargetBelief> beliefs = believedLoads(routing, candidates, now);
        Json::Value list(Json::arrayValue);
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const TargetBelief& belief = beliefs[index];
            const auto view = routing.targets.find(candidates[index].address);
            Json::Value value(Json::objectValue);
            value["address"] = candidates[index].address;
            value["local"] = candidates[index].isLocal;
            value["weight"] = belief.weight;
            value["callMilliseconds"] = belief.callSeconds * 1000;
            value["slots"] = belief.slots;
            value["freeSlots"] = belief.slots - belief.occupied;
            value["trusted"] = belief.isFresh;
            value["inFlight"] = view == routing.targets.end() ? 0 : view->second.inFlight;
            if (view != routing.targets.end() && view->second.load.reports > 0)
                value["ageMs"] = Json::Int64(absl::ToInt64Milliseconds(now - view->second.load.reportedAt));
            list.append(value);
        }
        services[service] = list;
    }
    return canonicalJson(services) + "\n";
}

/// Gauges of the choice of targets; their number does not depend on the number of targets.
std::string encodeBalanceMetrics(const RoutingState& routing)
{
    if (routing.options.balance != Balance::Speed)
        return "";
    const absl::Time now = steadyNow();
    std::size_t fresh = 0;
    for (const auto& [address, view] : routing.targets)
        fresh += isReportFresh(view.load, routing.options.load, now) ? 1 : 0;
    const auto gauge = [](absl::string_view name, absl::string_view help, auto value) {
        return absl::StrCat(
            "# HELP ", name, " ", help, "\n# TYPE ", name, " gauge\n", name, " ", value, "\n");
    };
    return absl::StrCat(gauge("jackdaw_balance_targets", "Targets of which this node has observations.",
                            routing.targets.size()),
        gauge("jackdaw_balance_fresh_reports", "Targets whose last load report is trusted.", fresh),
        gauge("jackdaw_balance_local_attempts", "Attempts to targets in the own data centre since the start.",
            routing.localStarts),
        gauge("jackdaw_balance_remote_attempts", "Attempts to targets in other data centres since the start.",
            routing.remoteStarts));
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
            gauge("jackdaw_target_limit",
                "Calls per second that the own target takes by its own word; -1: any.",
                decisions.admission.rate.callsPerSecond.value_or(-1)),
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
            gauge("jackdaw_dropped_log_events", "Log events dropped.", droppedLogEvents()))
        + encodeBalanceMetrics(decisions.routing));
}

} // namespace

Response respondToOperator(const RelayState& state, std::size_t callerConnections, const Request& request)
{
    const absl::string_view path = fromBeast(request.target());
    if (path == "/status")
        return makeJsonResponse(http::status::ok, encodeStatus(state));
    if (path == "/members")
        return makeJsonResponse(http::status::ok, encodeMembers(state));
    if (path == "/weights")
        return makeJsonResponse(http::status::ok, encodeWeights(state));
    if (path == "/limits")
        return makeJsonResponse(http::status::ok, state.leases->describe());
    if (path == "/metrics")
        return makeTextResponse(http::status::ok, encodeMetrics(state, callerConnections));
    if (path == "/events")
        return makeTextResponse(http::status::ok, recentLogEvents());
    return makeTextResponse(
        http::status::not_found, "try /status, /members, /limits, /weights, /metrics or /events\n");
}

} // namespace jackdawwall::relay
