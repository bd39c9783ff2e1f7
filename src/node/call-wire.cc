#include "node/call-wire.h"

#include "generated/wire.pb.h"

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <algorithm>
#include <array>

namespace jackdawwall {
namespace {

constexpr std::size_t kLongestNameBytes = 128;
constexpr std::size_t kLongestRequestIdBytes = 200;
constexpr std::int64_t kLongestDeadlineMs = 600'000;

constexpr std::array<absl::string_view, 12> kDroppedHeaders { "connection", "keep-alive", "proxy-connection",
    "te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "host", "date",
    "user-agent" };

bool isPlain(absl::string_view text, std::size_t longest)
{
    if (text.size() > longest)
        return false;
    return std::all_of(text.begin(), text.end(), [](char character) {
        return absl::ascii_isgraph(static_cast<unsigned char>(character)) && character != '"';
    });
}

absl::Status checkNames(const CallAsk& request)
{
    if (request.service.empty() && request.kind.empty())
        return absl::InvalidArgumentError("Jackdaw-Service or Jackdaw-Kind must be given");
    const std::array<absl::string_view, 3> names { request.service, request.caller, request.kind };
    for (const absl::string_view name : names) {
        if (!isPlain(name, kLongestNameBytes))
            return absl::InvalidArgumentError("a name holds spaces or is longer than 128 bytes");
    }
    if (!isPlain(request.requestId, kLongestRequestIdBytes))
        return absl::InvalidArgumentError("Jackdaw-Request-Id holds spaces or is longer than 200 bytes");
    return absl::OkStatus();
}

absl::Status readDeadline(absl::string_view text, CallAsk& request)
{
    if (text.empty())
        return absl::OkStatus();
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(text, &milliseconds) || milliseconds <= 0 || milliseconds > kLongestDeadlineMs)
        return absl::InvalidArgumentError("Jackdaw-Deadline-Ms must be a number from 1 to 600000");
    request.deadline = absl::Milliseconds(milliseconds);
    return absl::OkStatus();
}

absl::Status readToken(absl::string_view text, CallAsk& request)
{
    if (text.empty())
        return absl::OkStatus();
    if (!absl::SimpleHexAtoi(text, &request.parent) || request.parent == 0)
        return absl::InvalidArgumentError("Jackdaw-Parent is not a token that a node gave out");
    return absl::OkStatus();
}

absl::Status readRepeat(absl::string_view text, CallAsk& request)
{
    if (!text.empty() && text != "never" && text != "idempotent")
        return absl::InvalidArgumentError("Jackdaw-Repeat must be \"never\" or \"idempotent\"");
    request.asksOnce = text == "never";
    return absl::OkStatus();
}

std::string encodeMessage(const google::protobuf::MessageLite& message)
{
    return absl::WebSafeBase64Escape(message.SerializeAsString());
}

bool decodeMessage(absl::string_view value, google::protobuf::MessageLite& message)
{
    std::string bytes;
    return absl::WebSafeBase64Unescape(value, &bytes) && message.ParseFromString(bytes);
}

int statusOf(const CallFailure& failure)
{
    switch (failure.reason) {
    case Reason::CallerLimit:
    case Reason::RetryLimit:
        return 429;
    case Reason::Deadline:
    case Reason::Timeout:
        return 504;
    case Reason::BadRequest:
        return 400;
    case Reason::Duplicate:
        return 409;
    case Reason::TargetFailed:
    case Reason::ConnectionLost:
    case Reason::Truncated:
        return 502;
    default:
        return 503;
    }
}

/// How long a caller should wait; 0 when coming back can't help.
int retryAfterMs(Reason reason)
{
    switch (reason) {
    case Reason::Overload:
    case Reason::CallerLimit:
    case Reason::RetryLimit:
        return 1000;
    case Reason::Leaving:
    case Reason::Unreachable:
    case Reason::TargetShed:
        return 200;
    case Reason::NoTarget:
    case Reason::PlatformUnavailable:
        return 3000;
    default:
        return 0;
    }
}

} // namespace

absl::StatusOr<CallAsk> readCallAsk(const HttpHead& head)
{
    CallAsk request;
    request.service = std::string(findHeader(head.headers, kServiceHeader));
    request.caller = std::string(findHeader(head.headers, kCallerHeader));
    request.kind = std::string(findHeader(head.headers, kKindHeader));
    request.requestId = std::string(findHeader(head.headers, kRequestIdHeader));
    absl::Status status = checkNames(request);
    status.Update(readToken(findHeader(head.headers, kParentHeader), request));
    status.Update(readDeadline(findHeader(head.headers, kDeadlineHeader), request));
    status.Update(readRepeat(findHeader(head.headers, kRepeatHeader), request));
    if (!status.ok())
        return status;
    return request;
}

std::string encodeContext(const CallContext& context, absl::Time now)
{
    wire::CallContext message;
    message.set_caller(context.caller);
    message.set_kind(context.kind);
    message.set_request_id(context.requestId);
    message.set_priority(static_cast<std::uint32_t>(context.priority));
    message.set_rank(context.rank);
    message.set_weight(context.weight);
    message.set_allowance(context.allowance);
    const std::int64_t left = absl::ToInt64Milliseconds(context.deadline - now);
    message.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(1, left)));
    message.set_repeatable(context.isRepeatable);
    message.set_depth(context.depth);
    message.set_kept_fraction(context.keptFraction);
    return encodeMessage(message);
}

std::optional<CallContext> decodeContext(absl::string_view value, absl::Time now)
{
    wire::CallContext message;
    if (!decodeMessage(value, message) || message.priority() >= kPriorityCount)
        return std::nullopt;
    CallContext context;
    context.caller = message.caller();
    context.kind = message.kind();
    context.requestId = message.request_id();
    context.priority = static_cast<Priority>(message.priority());
    context.rank = message.rank();
    context.weight = message.weight();
    context.allowance = message.allowance();
    context.deadline = now + absl::Milliseconds(message.deadline_ms());
    context.isRepeatable = message.repeatable();
    context.depth = message.depth();
    context.keptFraction = message.kept_fraction();
    return context;
}

std::string encodeFeedback(const CallFeedback& feedback)
{
    wire::Feedback message;
    message.set_unspent(feedback.unspent);
    message.set_admit_fraction(feedback.admitFraction);
    message.set_in_flight(feedback.inFlight);
    message.set_waiting(feedback.waiting);
    message.set_failed_deeper(feedback.hasFailedDeeper);
    return encodeMessage(message);
}

std::optional<CallFeedback> decodeFeedback(absl::string_view value)
{
    wire::Feedback message;
    if (value.empty() || !decodeMessage(value, message))
        return std::nullopt;
    return CallFeedback { message.unspent(), message.admit_fraction(), message.in_flight(), message.waiting(),
        message.failed_deeper() };
}

std::string encodeToken(CallToken token)
{
    return absl::StrCat(absl::Hex(token, absl::kZeroPad16));
}

std::vector<HttpHeader> forwardedHeaders(const std::vector<HttpHeader>& headers)
{
    std::vector<HttpHeader> kept;
    for (const HttpHeader& header : headers) {
        const std::string name = absl::AsciiStrToLower(header.name);
        const bool isDropped
            = std::find(kDroppedHeaders.begin(), kDroppedHeaders.end(), name) != kDroppedHeaders.end();
        if (!isDropped && !absl::StartsWith(name, "jackdaw-"))
            kept.push_back(header);
    }
    return kept;
}

HttpReply failureReply(const CallFailure& failure)
{
    HttpReply reply;
    reply.status = statusOf(failure);
    reply.headers.push_back({ kOutcomeHeader, std::string(toText(failure.outcome)) });
    reply.headers.push_back({ kReasonHeader, std::string(toText(failure.reason)) });
    const int after = retryAfterMs(failure.reason);
    if (after > 0)
        reply.headers.push_back({ kRetryAfterHeader, absl::StrCat(after) });
    reply.headers.push_back({ "Content-Type", "text/plain" });
    reply.body = absl::StrCat(toText(failure.outcome), ": ",
        failure.detail.empty() ? toText(failure.reason) : failure.detail, "\n");
    return reply;
}

} // namespace jackdawwall
