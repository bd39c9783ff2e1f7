#include "node/operator-port.h"

#include "adapter/json-reader.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"

#include <array>

namespace jackdawwall {
namespace {

HttpReply jsonReply(const Json::Value& value)
{
    HttpReply reply;
    reply.headers.push_back({ "Content-Type", "application/json" });
    reply.body = canonicalJson(value) + "\n";
    return reply;
}

HttpReply textReply(int status, std::string text)
{
    HttpReply reply;
    reply.status = status;
    reply.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    reply.body = std::move(text);
    return reply;
}

Json::Value admissionStatus(const AdmissionState& admission)
{
    Json::Value value(Json::objectValue);
    value["limit"] = currentLimit(admission.limit);
    value["inFlight"] = inFlight(admission);
    value["waiting"] = Json::UInt64(admission.waiting.size());
    value["refusing"] = admission.share.isDividing;
    std::array<std::uint32_t, kPriorityCount> least {};
    least.fill(kRankCount);
    for (const auto& [key, demand] : admission.share.demands) {
        auto& fraction = least.at(static_cast<std::size_t>(key.priority));
        fraction = std::min(fraction, demand.fraction);
    }
    for (std::size_t index = 0; index < kPriorityCount; ++index)
        value["leastAdmittedShare"][std::string(toText(static_cast<Priority>(index)))]
            = static_cast<double>(least.at(index)) / kRankCount;
    return value;
}

Json::Value memberCounts(const MembershipState& membership)
{
    Json::Value value(Json::objectValue);
    for (const auto& [address, record] : membership.members) {
        Json::Value& count = value[std::string(toText(record.member.status))];
        count = count.asUInt() + 1;
    }
    return value;
}

HttpReply status(NodeState& node)
{
    Json::Value value(Json::objectValue);
    value["process"] = node.settings.process;
    value["service"] = node.settings.service;
    value["dataCentre"] = node.settings.dataCentre;
    value["leaving"] = node.isLeaving.load();
    const InForce inForce = node.inForce();
    value["catalogueVersion"] = Json::UInt64(inForce.version);
    value["catalogueSince"] = absl::FormatTime(absl::RFC3339_full, inForce.since, absl::UTCTimeZone());
    value["droppedLogEvents"] = Json::UInt64(droppedLogEvents());
    const absl::MutexLock lock(&node.mutex);
    value["admission"] = admissionStatus(node.decisions.admission);
    value["members"] = memberCounts(node.decisions.membership);
    return jsonReply(value);
}

HttpReply members(NodeState& node)
{
    Json::Value list(Json::arrayValue);
    const absl::MutexLock lock(&node.mutex);
    for (const Member& member : allMembers(node.decisions.membership)) {
        Json::Value value(Json::objectValue);
        value["address"] = member.peerAddress;
        value["service"] = member.service;
        value["dataCentre"] = member.dataCentre;
        value["operator"] = member.operatorAddress;
        value["status"] = std::string(toText(member.status));
        value["incarnation"] = Json::UInt64(member.incarnation);
        list.append(value);
    }
    return jsonReply(list);
}

void appendGauge(std::string& text, absl::string_view name, absl::string_view help, double value)
{
    absl::StrAppend(&text, "# HELP ", name, " ", help, "\n# TYPE ", name, " gauge\n", name, " ", value, "\n");
}

HttpReply metrics(NodeState& node)
{
    std::string gauges;
    appendGauge(gauges, "jackdaw_catalogue_version", "Version of the catalogue in force.",
        static_cast<double>(node.catalogue()->version));
    appendGauge(
        gauges, "jackdaw_dropped_log_events", "Log events dropped.", static_cast<double>(droppedLogEvents()));
    {
        const absl::MutexLock lock(&node.mutex);
        const NodeDecisions& decisions = node.decisions;
        appendGauge(gauges, "jackdaw_limit", "Calls that may be in the own target.",
            currentLimit(decisions.admission.limit));
        appendGauge(gauges, "jackdaw_in_flight", "Calls in the own target.", inFlight(decisions.admission));
        appendGauge(gauges, "jackdaw_waiting", "Calls waiting for the own target.",
            static_cast<double>(decisions.admission.waiting.size()));
        appendGauge(gauges, "jackdaw_members", "Members known, the dead included.",
            static_cast<double>(decisions.membership.members.size()));
    }
    return textReply(200, node.metrics.expose(gauges));
}

/// An operator's tool hands over what the platform has just accepted, in case the platform goes away now.
HttpReply takeCatalogue(NodeState& node, Gossip& gossip, const HttpRequest& request)
{
    StoredObject document { "catalogue", request.body, 0 };
    if (!absl::SimpleAtoi(findHeader(request.head.headers, "Version"), &document.version))
        return textReply(400, "the header Version is missing\n");
    if (node.offerCatalogue(document))
        gossip.kick();
    const CatalogueVersion held = node.catalogue()->version;
    return textReply(isNewer(document.version, held) ? 422 : 200, absl::StrCat(held, "\n"));
}

} // namespace

HttpReply answerOperator(NodeState& node, Gossip& gossip, const HttpRequest& request)
{
    const std::string& path = request.head.path;
    if (request.head.method == "POST" && path == "/catalogue")
        return takeCatalogue(node, gossip, request);
    if (request.head.method != "GET")
        return textReply(405, "only GET is answered here\n");
    if (path == "/status")
        return status(node);
    if (path == "/members")
        return members(node);
    if (path == "/metrics")
        return metrics(node);
    if (path == "/events")
        return textReply(200, recentLogEvents());
    return textReply(404, "try /status, /members, /metrics or /events\n");
}

} // namespace jackdawwall
