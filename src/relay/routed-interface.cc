#include "relay/routed-interface.h"

#include "relay/breakage.h"

#include <algorithm>

namespace jackdawwall::relay {
namespace {

constexpr absl::Duration kLongestRetryAfter = absl::Milliseconds(1000);
/// Part of the time left that a caller is asked to wait at most; callers keep up to a third.
constexpr double kRetryAfterShare = 0.3;

/// Cost of an answer from another data centre, as extra latency. Its bytes are priced, so a far target is
/// used only when the near one is clearly busier.
constexpr absl::Duration kRemoteCost = absl::Milliseconds(150);

/// Long work keeps a quarter of the slots at least: the queue's order already puts urgent short work first.
constexpr double kMostReserve = 0.75;
constexpr double kReserveDeviations = 1;

OpenedCall open(RelayState& state, IncomingRequest& incoming)
{
    const Request& request = incoming.request;
    if (!state.configuration.table)
        return makeAnswer(
            http::status::service_unavailable, "no configuration is known yet\n", kLongestRetryAfter);
    const Route* route = matchRoute(
        *state.configuration.table, fromBeast(request[http::field::host]), fromBeast(request.target()));
    const absl::string_view id = headerOf(request, state.settings.names.requestId);
    if (route == nullptr) {
        state.requestLog.record("no-route", id, false,
            { { "request", id }, { "host", fromBeast(request[http::field::host]) },
                { "target", fromBeast(request.target()) }, { "config", state.configuration.version } });
        return makeAnswer(http::status::not_found, "no route\n");
    }
    RouteAsk ask;
    ask.service = chooseService(state.split, *route);
    ask.caller = state.settings.service;
    ask.requestId = std::string(id);
    ask.callerTime = absl::Milliseconds(
        numberOf(request, state.settings.names.timeLeft, absl::ToInt64Milliseconds(route->timeout)));
    return openRouted(*route, ask, incoming.receivedAt);
}

Response failureAnswer(const CallFailure& failure, absl::Duration callerLeft)
{
    if (failure.reason == Reason::Timeout)
        return makeAnswer(http::status::gateway_timeout, "the time limit has passed\n");
    if (failure.outcome != Outcome::NotRun && !isSafeguardDisabled("true-refusals"))
        return makeAnswer(http::status::bad_gateway, "the target's answer was lost\n");
    const absl::Duration retryAfter
        = std::max(absl::Milliseconds(1), std::min(kLongestRetryAfter, callerLeft * kRetryAfterShare));
    return makeAnswer(http::status::service_unavailable, "not run; come back later\n", retryAfter);
}

} // namespace

CallInterface routedInterface()
{
    CallInterface made;
    made.open = open;
    made.failure = failureAnswer;
    return made;
}

Configuration routedConfiguration(RouteTable table)
{
    Configuration made;
    made.version = table.version;
    made.limits = table.limits;
    made.table = std::make_shared<const RouteTable>(std::move(table));
    return made;
}

AdmissionOptions routedAdmission()
{
    AdmissionOptions options;
    options.mostReserve = kMostReserve;
    options.reserveDeviations = kReserveDeviations;
    return options;
}

RoutingOptions routedRouting()
{
    RoutingOptions options;
    options.remoteCost = kRemoteCost;
    return options;
}

} // namespace jackdawwall::relay
