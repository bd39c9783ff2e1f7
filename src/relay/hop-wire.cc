#include "relay/hop-wire.h"

#include "absl/strings/str_cat.h"

namespace jackdawwall::relay {
namespace {

constexpr std::int64_t kMostPriority = static_cast<std::int64_t>(kPriorityCount) - 1;

void removeHeaders(http::fields& fields, std::initializer_list<const char*> names)
{
    for (const char* name : names)
        fields.erase(name);
}

} // namespace

std::string encodeCall(GateCall call, const std::string& service, absl::Time now)
{
    Request& request = call.request;
    removeHopHeaders(request);
    request.version(11);
    setHeader(request, kServiceHeader, service);
    setHeader(request, kRouteHeader, call.route);
    setHeader(request, kPriorityHeader, absl::StrCat(static_cast<int>(call.priority)));
    setHeader(request, kRepeatableHeader, call.isRepeatable ? "1" : "0");
    setHeader(request, kTimeLeftHeader, absl::StrCat(absl::ToInt64Milliseconds(call.deadline - now)));
    setHeader(request, kGoalHeader, absl::StrCat(absl::ToInt64Milliseconds(call.goal)));
    setHeader(request, kArrivalsHeader, absl::StrCat(call.arrivals));
    setHeader(request, kCallerHeader, call.caller);
    request.prepare_payload();
    return toBytes(request);
}

std::optional<HopCall> decodeCall(Request request, const HeaderNames& names, absl::Time now)
{
    HopCall hop;
    hop.service = std::string(headerOf(request, kServiceHeader));
    const std::int64_t left = numberOf(request, kTimeLeftHeader, -1);
    if (hop.service.empty() || left < 0)
        return std::nullopt;
    GateCall& call = hop.call;
    call.requestId = std::string(headerOf(request, names.requestId));
    call.caller = std::string(headerOf(request, kCallerHeader));
    call.route = std::string(headerOf(request, kRouteHeader));
    call.priority = static_cast<Priority>(
        std::clamp<std::int64_t>(numberOf(request, kPriorityHeader, kMostPriority), 0, kMostPriority));
    call.isRepeatable = headerOf(request, kRepeatableHeader) == "1";
    call.arrivals = static_cast<int>(numberOf(request, kArrivalsHeader, 0));
    call.deadline = now + absl::Milliseconds(left);
    call.goal = absl::Milliseconds(numberOf(request, kGoalHeader, left));
    removeHeaders(request,
        { kServiceHeader, kRouteHeader, kPriorityHeader, kRepeatableHeader, kTimeLeftHeader, kGoalHeader,
            kArrivalsHeader, kCallerHeader });
    call.request = std::move(request);
    return hop;
}

Response encodeResult(GateResult result)
{
    Response response = std::move(result.response);
    if (result.end != GateEnd::Answered)
        response = makeAnswer(http::status::service_unavailable, "");
    setHeader(response, kEndHeader, toText(result.end));
    setHeader(response, kReasonHeader, jackdawwall::toText(result.reason));
    setHeader(response, kWaitingHeader, absl::StrCat(result.waiting));
    return response;
}

GateResult decodeResult(ExchangeResult result)
{
    if (result.end == ExchangeEnd::NotSent)
        return { GateEnd::Refused, Reason::Unreachable, {}, 0 };
    const absl::string_view end = headerOf(result.response, kEndHeader);
    if (result.end != ExchangeEnd::Complete || end.empty())
        return { GateEnd::Unknown, Reason::ConnectionLost, {}, 0 };
    GateResult decoded;
    decoded.end = gateEndFromText(end);
    decoded.reason = reasonFromText(headerOf(result.response, kReasonHeader)).value_or(Reason::None);
    decoded.waiting = static_cast<int>(numberOf(result.response, kWaitingHeader, 0));
    removeHeaders(result.response, { kEndHeader, kReasonHeader, kWaitingHeader });
    decoded.response = std::move(result.response);
    return decoded;
}

} // namespace jackdawwall::relay
