#include "relay/routed-interface.h"

#include "adapter/key-digest.h"
#include "relay/breakage.h"

#include <algorithm>

namespace jackdawwall::relay {
namespace {

/// Unless it is known that there is no room sooner.
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

/// Removes the headers about customers, which no target receives from a client, and returns the key. Empty
/// if there is none; an empty text, which is no customer's key, if there are several.
std::optional<std::string> takeKey(Request& request, const HeaderNames& names)
{
    std::optional<std::string> key;
    if (const absl::string_view value = headerValue(request, names.key); !value.empty())
        key = std::string(value);
    const bool isAmbiguous = request.erase(toBeast(names.key)) > 1;
    request.erase(toBeast(names.customer));
    return isAmbiguous ? "" : key;
}

/// Customer with this key; null if there is none.
const CallerEntry* findCustomer(const RouteTable& table, absl::string_view key)
{
    const auto found = table.customerKeys.find(hashKey(table.keySalt, key));
    if (found == table.customerKeys.end())
        return nullptr;
    const auto customer = table.customers.find(found->second);
    return customer == table.customers.end() ? nullptr : &customer->second;
}

void recordRefusedKey(
    RelayState& state, absl::string_view requestId, absl::string_view route, absl::string_view reason)
{
    state.metrics.countRefusedKey(reason);
    state.requestLog.record("key-refused", requestId, false,
        { { "request", requestId }, { "route", route }, { "reason", reason },
            { "config", state.configuration.version } });
}

OpenedCall open(RelayState& state, IncomingRequest& incoming)
{
    Request& request = incoming.request;
    if (!state.configuration.table)
        return makeTextResponse(
            http::status::service_unavailable, "no configuration is known yet\n", kMaxRetryAfter);
    const RouteTable& table = *state.configuration.table;
    const HeaderNames& names = state.settings.names;
    const bool hasCustomers = !table.customers.empty();
    const std::optional<std::string> key = hasCustomers ? takeKey(request, names) : std::nullopt;
    const Route* route
        = matchRoute(table, fromBeast(request[http::field::host]), fromBeast(request.target()));
    const absl::string_view id = headerValue(request, names.requestId);
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
    routed.callerTimeout = absl::Milliseconds(
        integerHeader(request, names.remainingTime, absl::ToInt64Milliseconds(route->timeout)));
    routed.bodyBytes = request.body().size();
    const absl::Time timeLimit = incoming.receivedAt + routed.callerTimeout;
    routed.isNested = !key
        && state.gate.mayBeNested(
            incoming.remoteAddress, timeLimit, hasCustomers ? kMaxLoadedTransit : kMaxNestedTransit);
    if (const ParentRun* run = routed.isNested ? state.gate.parentRunOf(timeLimit) : nullptr) {
        routed.parentPriority = run->priority;
        const auto customer = table.customers.find(run->customer);
        routed.customer = customer == table.customers.end() ? nullptr : &customer->second;
    }
    const bool needsKey = hasCustomers && !routed.isNested && !route->isPublic;
    if (needsKey) {
        routed.customer = key ? findCustomer(table, *key) : nullptr;
        if (routed.customer == nullptr) {
            recordRefusedKey(state, id, route->name, key ? "unknown" : "missing");
            return makeTextResponse(http::status::unauthorized, "no known key\n");
        }
    }
    OutboundCall call = openRouted(*route, routed, incoming.receivedAt);
    if (needsKey) {
        call.key = *key;
        call.keyVersion = table.version;
    }
    return call;
}

bool isKeyValid(RelayState& state, OutboundCall& call)
{
    const RouteTable& table = *state.configuration.table;
    if (call.key.empty() || call.keyVersion == table.version || table.customers.empty())
        return true;
    const CallerEntry* customer = findCustomer(table, call.key);
    if (customer == nullptr || customer->name != call.context.customer) {
        recordRefusedKey(state, call.context.requestId, call.context.kind, "withdrawn");
        return false;
    }
    call.keyVersion = table.version;
    return true;
}

Response makeFailureResponse(const CallFailure& failure, absl::Duration callerRemainingTime)
{
    if (failure.reason == Reason::KeyWithdrawn)
        return makeTextResponse(http::status::unauthorized, "not run; no known key\n");
    if (failure.reason == Reason::Timeout)
        return makeTextResponse(http::status::gateway_timeout, "the time limit has passed\n");
    if (failure.outcome != Outcome::NotRun && !isSafeguardDisabled("true-refusals"))
        return makeTextResponse(http::status::bad_gateway, "the target's answer was lost\n");
    if (failure.reason == Reason::CallerLimit)
        return makeTextResponse(
            http::status::too_many_requests, "not run; over the rate limit\n", failure.retryAfter);
    const absl::Duration wait = std::max(kMaxRetryAfter, failure.retryAfter);
    const absl::Duration retryAfter
        = std::max(absl::Milliseconds(1), std::min(wait, callerRemainingTime * kRetryAfterShare));
    return makeTextResponse(http::status::service_unavailable, "not run; come back later\n", retryAfter);
}

} // namespace

CallInterface routedInterface()
{
    CallInterface result;
    result.open = open;
    result.isKeyValid = isKeyValid;
    result.makeFailureResponse = makeFailureResponse;
    return result;
}

Configuration routedConfiguration(RouteTable table, std::string document)
{
    Configuration result;
    result.document = std::move(document);
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

RoutingOptions routedRoutingOptions(Balance balance)
{
    RoutingOptions options;
    options.balance = balance;
    options.remoteCost = kRemoteCost;
    options.remoteCostPerMegabyte = kRemoteCostPerMegabyte;
    return options;
}

} // namespace jackdawwall::relay
