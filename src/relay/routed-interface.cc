#include "relay/routed-interface.h"

#include "relay/breakage.h"

#include <algorithm>

namespace jackdawwall::relay {
namespace {

constexpr absl::Duration kMaxRetryAfter = absl::Milliseconds(1000);
/// Largest share of the remaining time that a caller is asked to wait before it retries. Callers respect a
/// Retry-After of up to a third of it.
constexpr double kRetryAfterShare = 0.3;

/// Cost of a response from another data centre, as additional latency. Traffic between data centres costs
/// money, so a remote target is used only when the local ones are clearly busier.
constexpr absl::Duration kRemoteCost = absl::Milliseconds(150);

/// The same for each megabyte of a request's body: an upload leaves its data centre only when the local
/// targets are far busier.
constexpr absl::Duration kRemoteCostPerMegabyte = absl::Seconds(10);

/// Largest share of the slots that may be reserved for short work. Long work keeps at least a quarter,
/// because the queue's order already puts urgent short work first.
constexpr double kMaxReserve = 0.75;
constexpr double kReserveDeviations = 1;

OpenedCall open(RelayState& state, IncomingRequest& incoming)
{
    const Request& request = incoming.request;
    if (!state.configuration.table)
        return makeTextResponse(
            http::status::service_unavailable, "no configuration is known yet\n", kMaxRetryAfter);
    const Route* route = matchRoute(
        *state.configuration.table, fromBeast(request[http::field::host]), fromBeast(request.target()));
    const absl::string_view id = headerValue(request, state.settings.names.requestId);
    if (route == nullptr) {
        state.requestLog.record("no-route", id, false,
            { { "request", id }, { "host", fromBeast(request[http::field::host]) },
                { "target", fromBeast(request.target()) }, { "config", state.configuration.version } });
        return makeTextResponse(http::status::not_found, "no route\n");
    }
    RoutedRequest routed;
    routed.service = chooseService(state.split, *route);
    routed.caller = state.settings.service;
    routed.requestId = std::string(id);
    routed.callerTimeout = absl::Milliseconds(integerHeader(
        request, state.settings.names.remainingTime, absl::ToInt64Milliseconds(route->timeout)));
    routed.bodyBytes = request.body().size();
    const absl::Time timeLimit = incoming.receivedAt + routed.callerTimeout;
    routed.isNested = state.gate.mayBeNested(incoming.remoteAddress, timeLimit);
    if (routed.isNested)
        routed.parentPriority = state.gate.parentPriorityOf(timeLimit);
    return openRouted(*route, routed, incoming.receivedAt);
}

Response makeFailureResponse(const CallFailure& failure, absl::Duration callerRemainingTime)
{
    if (failure.reason == Reason::Timeout)
        return makeTextResponse(http::status::gateway_timeout, "the time limit has passed\n");
    if (failure.outcome != Outcome::NotRun && !isSafeguardDisabled("true-refusals"))
        return makeTextResponse(http::status::bad_gateway, "the target's answer was lost\n");
    if (failure.reason == Reason::CallerLimit)
        return makeTextResponse(
            http::status::too_many_requests, "not run; over the rate limit\n", failure.retryAfter);
    const absl::Duration retryAfter
        = std::max(absl::Milliseconds(1), std::min(kMaxRetryAfter, callerRemainingTime * kRetryAfterShare));
    return makeTextResponse(http::status::service_unavailable, "not run; come back later\n", retryAfter);
}

} // namespace

CallInterface routedInterface()
{
    CallInterface result;
    result.open = open;
    result.makeFailureResponse = makeFailureResponse;
    return result;
}

Configuration routedConfiguration(RouteTable table)
{
    Configuration result;
    result.version = table.version;
    result.limits = table.limits;
    result.table = std::make_shared<const RouteTable>(std::move(table));
    return result;
}

AdmissionOptions routedAdmissionOptions()
{
    AdmissionOptions options;
    options.maximumReserve = kMaxReserve;
    options.reserveDeviations = kReserveDeviations;
    return options;
}

RoutingOptions routedRoutingOptions()
{
    RoutingOptions options;
    options.remoteCost = kRemoteCost;
    options.remoteCostPerMegabyte = kRemoteCostPerMegabyte;
    return options;
}

} // namespace jackdawwall::relay
