#include "node/catalogue-interface.h"

#include "adapter/catalogue-json.h"
#include "adapter/json-reader.h"
#include "node/call-headers.h"
#include "node/claim-store.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <array>
#include <vector>

namespace jackdawwall {
namespace {

using relay::CallFailure;
using relay::http::field;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxRequestIdBytes = 200;
constexpr std::int64_t kMaxDeadlineMs = 600'000;

bool isValidToken(absl::string_view text, std::size_t maxBytes)
{
    if (text.size() > maxBytes)
        return false;
    return std::all_of(text.begin(), text.end(), [](char character) {
        return absl::ascii_isgraph(static_cast<unsigned char>(character)) && character != '"';
    });
}

absl::Status checkNames(const CallRequest& callRequest)
{
    if (callRequest.service.empty() && callRequest.kind.empty())
        return absl::InvalidArgumentError("Jackdaw-Service or Jackdaw-Kind must be given");
    const std::array<absl::string_view, 3> names { callRequest.service, callRequest.caller,
        callRequest.kind };
    for (const absl::string_view name : names) {
        if (!isValidToken(name, kMaxNameBytes))
            return absl::InvalidArgumentError("a name holds spaces or is longer than 128 bytes");
    }
    if (!isValidToken(callRequest.requestId, kMaxRequestIdBytes))
        return absl::InvalidArgumentError("Jackdaw-Request-Id holds spaces or is longer than 200 bytes");
    return absl::OkStatus();
}

absl::Status readDeadline(absl::string_view text, CallRequest& callRequest)
{
    if (text.empty())
        return absl::OkStatus();
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(text, &milliseconds) || milliseconds <= 0 || milliseconds > kMaxDeadlineMs)
        return absl::InvalidArgumentError("Jackdaw-Deadline-Ms must be a number from 1 to 600000");
    callRequest.deadline = absl::Milliseconds(milliseconds);
    return absl::OkStatus();
}

absl::Status readParentToken(absl::string_view text, CallRequest& callRequest)
{
    if (text.empty())
        return absl::OkStatus();
    if (!absl::SimpleHexAtoi(text, &callRequest.parent) || callRequest.parent == 0)
        return absl::InvalidArgumentError("Jackdaw-Parent is not a token that a node gave out");
    return absl::OkStatus();
}

absl::Status readIdempotency(absl::string_view text, CallRequest& callRequest)
{
    if (!text.empty() && text != "never" && text != "idempotent")
        return absl::InvalidArgumentError("Jackdaw-Repeat must be \"never\" or \"idempotent\"");
    callRequest.isAtMostOnce = text == "never";
    return absl::OkStatus();
}

unsigned httpStatusOf(Reason reason)
{
    switch (reason) {
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
    case Reason::ResponseTooLarge:
        return 502;
    default:
        return 503;
    }
}

/// Delay after which a caller should retry; 0 when a retry can't help.
int retryAfterMs(Reason reason)
{
    switch (reason) {
    case Reason::Overload:
    case Reason::CallerLimit:
    case Reason::RetryLimit:
    case Reason::TargetLimit:
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

/// Removes the Jackdaw headers, and Date and User-Agent, which concern a single connection.
void removeJackdawHeaders(relay::http::fields& fields)
{
    std::vector<std::string> jackdawHeaders;
    for (const auto& header : fields) {
        const std::string name(header.name_string());
        if (absl::StartsWithIgnoreCase(name, "jackdaw-"))
            jackdawHeaders.push_back(name);
    }
    for (const std::string& name : jackdawHeaders)
        fields.erase(name);
    for (const field name : { field::date, field::user_agent })
        fields.erase(name);
}

relay::Response makeFailureResponse(const CallFailure& failure, absl::Duration /*callerRemainingTime*/)
{
    relay::Response response
        = relay::makeTextResponse(relay::http::int_to_status(httpStatusOf(failure.reason)),
            absl::StrCat(toText(failure.outcome), ": ",
                failure.detail.empty() ? toText(failure.reason) : failure.detail, "\n"));
    relay::setHeader(response, kOutcomeHeader, toText(failure.outcome));
    relay::setHeader(response, kReasonHeader, toText(failure.reason));
    const int delayMs = std::max(
        retryAfterMs(failure.reason), static_cast<int>(absl::ToInt64Milliseconds(failure.retryAfter)));
    if (delayMs > 0)
        relay::setHeader(response, kRetryAfterHeader, absl::StrCat(delayMs));
    return response;
}

relay::Response makeRejection(Reason reason, absl::string_view detail)
{
    return makeFailureResponse({ Outcome::NotRun, reason, std::string(detail) }, absl::ZeroDuration());
}

relay::OpenedCall openIncoming(relay::RelayState& state, relay::IncomingRequest& incoming)
{
    static const Catalogue kNoCatalogue;
    const absl::Time now = incoming.receivedAt;
    relay::Request& request = incoming.request;
    absl::StatusOr<CallRequest> callRequest = readCallRequest(request);
    if (!callRequest.ok())
        return makeRejection(Reason::BadRequest, callRequest.status().message());
    const Catalogue& catalogue
        = state.configuration.catalogue ? *state.configuration.catalogue : kNoCatalogue;
    if (callRequest->requestId.empty() && callRequest->parent == 0)
        callRequest->requestId = makeRequestId(absl::Now(), state.decisions.generator());
    absl::StatusOr<OutboundCall> call = openCall(state.decisions, catalogue, *callRequest, now);
    if (absl::IsCancelled(call.status()))
        return makeRejection(Reason::Cancelled, call.status().message());
    if (!call.ok())
        return makeRejection(Reason::BadRequest, call.status().message());
    call->callerDeadline = call->context.deadline;
    const Reason rejectionReason = checkBeforeSending(state.decisions, *call, now);
    if (rejectionReason != Reason::None) {
        const AttemptResult result { Outcome::NotRun, rejectionReason, true };
        closeCall(state.decisions, *call, result, now);
        state.metrics.countCall(
            { call->context.priority, result.outcome, rejectionReason }, absl::ZeroDuration());
        state.requestLog.record("call-refused", call->context.requestId, false,
            { { "request", call->context.requestId }, { "caller", call->context.caller },
                { "kind", call->context.kind }, { "reason", toText(rejectionReason) },
                { "rank", call->context.rank }, { "config", state.configuration.version } });
        return makeRejection(rejectionReason, "");
    }
    removeJackdawHeaders(request);
    relay::setHeader(request, kRequestIdHeader, call->context.requestId);
    return *std::move(call);
}

void setOutcomeHeaders(relay::Response& response, const AttemptResult& result)
{
    removeJackdawHeaders(response);
    relay::setHeader(response, kOutcomeHeader, toText(result.outcome));
    if (result.reason != Reason::None)
        relay::setHeader(response, kReasonHeader, toText(result.reason));
}

std::optional<CallFailure> toFailure(ClaimResult result)
{
    switch (result) {
    case ClaimResult::Claimed:
        return std::nullopt;
    case ClaimResult::Duplicate:
        return CallFailure { Outcome::Unknown, Reason::Duplicate, "this request id was used before" };
    case ClaimResult::Unavailable:
        return CallFailure { Outcome::NotRun, Reason::PlatformUnavailable,
            "the platform can't tell now whether this ran before" };
    case ClaimResult::InvalidId:
        return CallFailure { Outcome::NotRun, Reason::BadRequest,
            "Jackdaw-Request-Id of unrepeatable work must be t<unix seconds>-<unique>, not older than an "
            "hour" };
    }
    return std::nullopt;
}

} // namespace

absl::StatusOr<CallRequest> readCallRequest(const relay::Request& request)
{
    const auto text = [&](const char* name) { return std::string(relay::headerValue(request, name)); };
    CallRequest callRequest;
    callRequest.service = text(kServiceHeader);
    callRequest.caller = text(kCallerHeader);
    callRequest.kind = text(kKindHeader);
    callRequest.requestId = text(kRequestIdHeader);
    absl::Status status = checkNames(callRequest);
    status.Update(readParentToken(text(kParentHeader), callRequest));
    status.Update(readDeadline(text(kDeadlineHeader), callRequest));
    status.Update(readIdempotency(text(kRepeatHeader), callRequest));
    if (!status.ok())
        return status;
    return callRequest;
}

relay::HeaderNames catalogueHeaders()
{
    relay::HeaderNames names;
    names.requestId = kRequestIdHeader;
    names.remainingTime = kDeadlineHeader;
    names.caller = kCallerHeader;
    names.seal.clear();
    names.notRun = kOutcomeHeader;
    names.notRunValue = std::string(toText(Outcome::NotRun));
    names.expectTarget.clear();
    names.limit = kLimitHeader;
    names.leaving.clear(); // Without heartbeats, a later lifetime could not be told from the one that left.
    names.kind = kKindHeader;
    names.parent = kParentHeader;
    names.node = kNodeHeader;
    return names;
}

std::string packCatalogue(const StoredObject& stored)
{
    Json::Value value(Json::objectValue);
    value["version"] = Json::UInt64(stored.version);
    value["catalogue"] = stored.value;
    return canonicalJson(value);
}

absl::StatusOr<relay::Configuration> unpackCatalogue(const std::string& document)
{
    std::vector<Finding> findings;
    const auto packed = parseJson({ "catalogue", document, &findings });
    if (!packed || !(*packed)["version"].isUInt64() || !(*packed)["catalogue"].isString())
        return absl::InvalidArgumentError("not a packed catalogue: version or catalogue is missing");
    relay::Configuration configuration;
    configuration.version = (*packed)["version"].asUInt64();
    const auto parsed = readDocument((*packed)["catalogue"].asString(), findings);
    Catalogue catalogue = parsed ? toCatalogue(*parsed, configuration.version, findings) : Catalogue {};
    if (!findings.empty())
        return absl::InvalidArgumentError(formatFindings(findings));
    configuration.catalogue = std::make_shared<const Catalogue>(std::move(catalogue));
    return configuration;
}

relay::CallInterface catalogueInterface(const ObjectApi& objects)
{
    relay::CallInterface callInterface;
    callInterface.open = openIncoming;
    callInterface.makeFailureResponse = makeFailureResponse;
    callInterface.markResponse = setOutcomeHeaders;
    callInterface.claim = [objects](const OutboundCall& call, relay::ClaimCallback done) {
        claimRequest(objects, call.context.requestId, absl::Now(),
            [objects, done = std::move(done)](const Claim& claim) {
                std::function<void()> release;
                if (claim.result == ClaimResult::Claimed)
                    release = [objects, claim] { releaseClaim(objects, claim); };
                done(toFailure(claim.result), std::move(release));
            });
    };
    return callInterface;
}

} // namespace jackdawwall
