#include "relay/hop-wire.h"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace jackdawwall::relay {
namespace {

constexpr std::int64_t kMaxPriority = static_cast<std::int64_t>(kPriorityCount) - 1;

/// Number of fields in the chain header and in the feedback header.
constexpr std::size_t kChainFieldCount = 5;
constexpr std::size_t kFeedbackFieldCount = 4;
constexpr std::size_t kLoadFieldCount = 5;
constexpr std::size_t kStatementFieldCount = 5;
/// An older statement counts as this old.
constexpr std::uint64_t kMaxStatementAgeMs = 24ULL * 3600 * 1000;

/// Parses integers separated by commas; empty for any other text.
std::vector<std::uint32_t> parseNumbers(absl::string_view text)
{
    std::vector<std::uint32_t> numbers;
    for (const absl::string_view part : absl::StrSplit(text, ',')) {
        std::uint32_t number = 0;
        if (!absl::SimpleAtoi(part, &number))
            return {};
        numbers.push_back(number);
    }
    return numbers;
}

/// True when any of the call's chain fields differs from its default.
bool hasNonDefaultChain(const CallContext& context)
{
    return context.rank != 0 || context.upstreamFraction != kRankCount || context.weight != 1
        || context.allowance != 0 || context.depth != 0;
}

/// "STARTED_AT,AGE_MS,LEAVING,RATE,ID": LEAVING is 0 or 1, RATE is empty without a limit, and ID is hex.
std::string encodeStatement(const TargetStatement& statement, absl::Time now)
{
    const std::int64_t age = absl::ToInt64Milliseconds(now - statement.observedAt);
    return absl::StrCat(statement.lifetime.startedAt, ",", std::max<std::int64_t>(0, age), ",",
        statement.isLeaving ? 1 : 0, ",",
        statement.callsPerSecond ? absl::StrCat(*statement.callsPerSecond) : "", ",",
        absl::BytesToHexString(statement.lifetime.id));
}

/// Inverse of encodeStatement; empty for any other text.
std::optional<TargetStatement> decodeStatement(absl::string_view text, absl::Time now)
{
    const std::vector<absl::string_view> parts = absl::StrSplit(text, ',');
    TargetStatement statement;
    std::uint64_t age = 0;
    if (parts.size() != kStatementFieldCount || !absl::SimpleAtoi(parts[0], &statement.lifetime.startedAt)
        || !absl::SimpleAtoi(parts[1], &age))
        return std::nullopt;
    statement.observedAt = now - absl::Milliseconds(std::min<std::uint64_t>(age, kMaxStatementAgeMs));
    statement.isLeaving = parts[2] == "1";
    double rate = 0;
    if (absl::SimpleAtod(parts[3], &rate) && rate >= 0 && std::isfinite(rate))
        statement.callsPerSecond = rate;
    statement.lifetime.id = absl::HexStringToBytes(parts[4]);
    return statement;
}

void removeHeaders(http::fields& fields, std::initializer_list<const char*> names)
{
    for (const char* name : names)
        fields.erase(name);
}

} // namespace

std::string encodeCallHead(const GateCall& call, const std::string& service, absl::Time now)
{
    const CallContext& context = call.context;
    Request head = copyHead(*call.request);
    setHeader(head, kServiceHeader, service);
    setHeader(head, kRouteHeader, context.kind);
    setHeader(head, kPriorityHeader, absl::StrCat(static_cast<int>(context.priority)));
    setHeader(head, kIdempotentHeader, context.isIdempotent ? "1" : "0");
    const std::int64_t remaining = absl::ToInt64Milliseconds(context.deadline - now);
    setHeader(head, kRemainingTimeHeader, absl::StrCat(std::max<std::int64_t>(0, remaining)));
    if (call.latencyObjective > absl::ZeroDuration())
        setHeader(
            head, kLatencyObjectiveHeader, absl::StrCat(absl::ToInt64Milliseconds(call.latencyObjective)));
    setHeader(head, kArrivalsHeader, absl::StrCat(call.arrivals));
    setHeader(head, kCallerHeader, context.caller);
    removeHeaders( // Of the client.
        head, { kCustomerHeader, kRunCustomerHeader, kStatementHeader, kNoAlternativeHeader });
    if (call.statement)
        setHeader(head, kStatementHeader, encodeStatement(*call.statement, now));
    if (!call.hasAlternative)
        setHeader(head, kNoAlternativeHeader, "1");
    if (!context.customer.empty())
        setHeader(head, context.isCustomerOfRun ? kRunCustomerHeader : kCustomerHeader, context.customer);
    if (hasNonDefaultChain(context))
        setHeader(head, kChainHeader,
            absl::StrJoin(
                { context.rank, context.upstreamFraction, context.weight, context.allowance, context.depth },
                ","));
    return serializeHead(head);
}

std::optional<HopCall> decodeCall(Request request, const HeaderNames& names, absl::Time now)
{
    HopCall hop;
    hop.service = std::string(headerValue(request, kServiceHeader));
    const std::int64_t remaining = integerHeader(request, kRemainingTimeHeader, -1);
    if (hop.service.empty() || remaining < 0)
        return std::nullopt;
    CallContext& context = hop.call.context;
    context.requestId = std::string(headerValue(request, names.requestId));
    context.caller = std::string(headerValue(request, kCallerHeader));
    context.isCustomerOfRun = !headerValue(request, kRunCustomerHeader).empty();
    context.customer
        = std::string(headerValue(request, context.isCustomerOfRun ? kRunCustomerHeader : kCustomerHeader));
    context.kind = std::string(headerValue(request, kRouteHeader));
    context.priority = static_cast<Priority>(
        std::clamp<std::int64_t>(integerHeader(request, kPriorityHeader, kMaxPriority), 0, kMaxPriority));
    context.isIdempotent = headerValue(request, kIdempotentHeader) == "1";
    context.deadline = now + absl::Milliseconds(remaining);
    const std::vector<std::uint32_t> chain = parseNumbers(headerValue(request, kChainHeader));
    if (chain.size() == kChainFieldCount) {
        context.rank = chain[0];
        context.upstreamFraction = chain[1];
        context.weight = std::max(1U, chain[2]);
        context.allowance = chain[3];
        context.depth = chain[4];
    }
    hop.call.arrivals = static_cast<int>(integerHeader(request, kArrivalsHeader, 0));
    hop.call.latencyObjective = absl::Milliseconds(integerHeader(request, kLatencyObjectiveHeader, 0));
    hop.call.statement = decodeStatement(headerValue(request, kStatementHeader), now);
    hop.call.hasAlternative = headerValue(request, kNoAlternativeHeader).empty();
    removeHeaders(request,
        { kServiceHeader, kRouteHeader, kPriorityHeader, kIdempotentHeader, kRemainingTimeHeader,
            kLatencyObjectiveHeader, kArrivalsHeader, kCallerHeader, kCustomerHeader, kRunCustomerHeader,
            kChainHeader, kStatementHeader, kNoAlternativeHeader });
    hop.call.request = std::make_shared<const Request>(std::move(request));
    return hop;
}

Response encodeResult(GateResult result)
{
    Response response = std::move(result.response);
    if (result.status != GateStatus::Answered)
        response = makeTextResponse(http::status::service_unavailable, "");
    setHeader(response, kEndHeader, toText(result.status));
    setHeader(response, kReasonHeader, jackdawwall::toText(result.reason));
    const CallFeedback& feedback = result.feedback;
    setHeader(response, kWaitingHeader, absl::StrCat(feedback.waiting));
    const bool isDefault = feedback.unusedAllowance == 0 && feedback.admitFraction == kRankCount
        && !feedback.hasDownstreamFailure;
    if (!isDefault)
        setHeader(response, kFeedbackHeader,
            absl::StrJoin({ feedback.unusedAllowance, feedback.admitFraction, feedback.inFlight,
                              feedback.hasDownstreamFailure ? 1U : 0U },
                ","));
    removeHeaders(response, { kStatementHeader, kRetryAfterHeader }); // Of the target.
    if (feedback.statement)
        setHeader(
            response, kStatementHeader, encodeStatement(*feedback.statement, feedback.statement->observedAt));
    if (feedback.retryAfter > absl::ZeroDuration())
        setHeader(response, kRetryAfterHeader, absl::StrCat(absl::ToInt64Milliseconds(feedback.retryAfter)));
    if (feedback.load)
        setHeader(response, kLoadHeader,
            absl::StrJoin({ feedback.load->running, feedback.load->limit, feedback.load->waiting,
                              feedback.load->meanMicroseconds, feedback.load->heldMicroseconds },
                ","));
    return response;
}

GateResult decodeResult(ExchangeResult result)
{
    GateResult decoded;
    decoded.hasNodeResponded = false;
    if (result.status == ExchangeStatus::NotSent) {
        decoded.status = GateStatus::Refused;
        decoded.reason = Reason::Unreachable;
        return decoded;
    }
    const absl::string_view statusText = headerValue(result.response, kEndHeader);
    if (result.status != ExchangeStatus::Complete || statusText.empty()) {
        decoded.reason
            = result.status == ExchangeStatus::TooLarge ? Reason::ResponseTooLarge : Reason::ConnectionLost;
        return decoded;
    }
    decoded.hasNodeResponded = true;
    decoded.status = gateStatusFromText(statusText);
    decoded.reason = reasonFromText(headerValue(result.response, kReasonHeader)).value_or(Reason::None);
    decoded.feedback.waiting = static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, integerHeader(result.response, kWaitingHeader, 0)));
    const std::vector<std::uint32_t> numbers = parseNumbers(headerValue(result.response, kFeedbackHeader));
    if (numbers.size() == kFeedbackFieldCount) {
        decoded.feedback.unusedAllowance = numbers[0];
        decoded.feedback.admitFraction = numbers[1];
        decoded.feedback.inFlight = numbers[2];
        decoded.feedback.hasDownstreamFailure = numbers[3] != 0;
    }
    const std::vector<std::uint32_t> load = parseNumbers(headerValue(result.response, kLoadHeader));
    if (load.size() == kLoadFieldCount)
        decoded.feedback.load = GateLoad { load[0], load[1], load[2], load[3], load[4] };
    decoded.feedback.statement = decodeStatement(headerValue(result.response, kStatementHeader), steadyNow());
    decoded.feedback.retryAfter
        = absl::Milliseconds(std::max<std::int64_t>(0, integerHeader(result.response, kRetryAfterHeader, 0)));
    removeHeaders(result.response,
        { kEndHeader, kReasonHeader, kWaitingHeader, kFeedbackHeader, kLoadHeader, kStatementHeader,
            kRetryAfterHeader });
    decoded.response = std::move(result.response);
    decoded.reservation = std::move(result.reservation);
    return decoded;
}

} // namespace jackdawwall::relay
