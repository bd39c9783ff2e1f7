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

constexpr std::size_t kLongestNameBytes = 128;
constexpr std::size_t kLongestRequestIdBytes = 200;
constexpr std::int64_t kLongestDeadlineMs = 600'000;

bool isPlain(absl::string_view text, std::size_t longest)
{
    if (text.size() > longest)
        return false;
    return std::all_of(text.begin(), text.end(), [](char character) {
        return absl::ascii_isgraph(static_cast<unsigned char>(character)) && character != '"';
    });
}

absl::Status checkNames(const CallAsk& ask)
{
    if (ask.service.empty() && ask.kind.empty())
        return absl::InvalidArgumentError("Jackdaw-Service or Jackdaw-Kind must be given");
    const std::array<absl::string_view, 3> names { ask.service, ask.caller, ask.kind };
    for (const absl::string_view name : names) {
        if (!isPlain(name, kLongestNameBytes))
            return absl::InvalidArgumentError("a name holds spaces or is longer than 128 bytes");
    }
    if (!isPlain(ask.requestId, kLongestRequestIdBytes))
        return absl::InvalidArgumentError("Jackdaw-Request-Id holds spaces or is longer than 200 bytes");
    return absl::OkStatus();
}

absl::Status readDeadline(absl::string_view text, CallAsk& ask)
{
    if (text.empty())
        return absl::OkStatus();
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(text, &milliseconds) || milliseconds <= 0 || milliseconds > kLongestDeadlineMs)
        return absl::InvalidArgumentError("Jackdaw-Deadline-Ms must be a number from 1 to 600000");
    ask.deadline = absl::Milliseconds(milliseconds);
    return absl::OkStatus();
}

absl::Status readToken(absl::string_view text, CallAsk& ask)
{
    if (text.empty())
        return absl::OkStatus();
    if (!absl::SimpleHexAtoi(text, &ask.parent) || ask.parent == 0)
        return absl::InvalidArgumentError("Jackdaw-Parent is not a token that a node gave out");
    return absl::OkStatus();
}

absl::Status readRepeat(absl::string_view text, CallAsk& ask)
{
    if (!text.empty() && text != "never" && text != "idempotent")
        return absl::InvalidArgumentError("Jackdaw-Repeat must be \"never\" or \"idempotent\"");
    ask.asksOnce = text == "never";
    return absl::OkStatus();
}

unsigned statusOf(Reason reason)
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

/// Drops the product's headers and those that concern one connection.
void dropOwnHeaders(relay::http::fields& fields)
{
    std::vector<std::string> own;
    for (const auto& header : fields) {
        const std::string name(header.name_string());
        if (absl::StartsWithIgnoreCase(name, "jackdaw-"))
            own.push_back(name);
    }
    for (const std::string& name : own)
        fields.erase(name);
    for (const field name : { field::date, field::user_agent })
        fields.erase(name);
}

relay::Response failureAnswer(const CallFailure& failure, absl::Duration /*callerLeft*/)
{
    relay::Response response = relay::makeAnswer(relay::http::int_to_status(statusOf(failure.reason)),
        absl::StrCat(toText(failure.outcome), ": ",
            failure.detail.empty() ? toText(failure.reason) : failure.detail, "\n"));
    relay::setHeader(response, kOutcomeHeader, toText(failure.outcome));
    relay::setHeader(response, kReasonHeader, toText(failure.reason));
    const int after = retryAfterMs(failure.reason);
    if (after > 0)
        relay::setHeader(response, kRetryAfterHeader, absl::StrCat(after));
    return response;
}

relay::Response refusal(Reason reason, absl::string_view detail)
{
    return failureAnswer({ Outcome::NotRun, reason, std::string(detail) }, absl::ZeroDuration());
}

relay::OpenedCall open(relay::RelayState& state, relay::IncomingRequest& incoming)
{
    static const Catalogue kNoCatalogue;
    const absl::Time now = incoming.receivedAt;
    relay::Request& request = incoming.request;
    absl::StatusOr<CallAsk> ask = readCallAsk(request);
    if (!ask.ok())
        return refusal(Reason::BadRequest, ask.status().message());
    const Catalogue& catalogue
        = state.configuration.catalogue ? *state.configuration.catalogue : kNoCatalogue;
    if (ask->requestId.empty() && ask->parent == 0)
        ask->requestId = makeRequestId(absl::Now(), state.decisions.generator());
    absl::StatusOr<OutboundCall> call = openCall(state.decisions, catalogue, *ask, now);
    if (absl::IsCancelled(call.status()))
        return refusal(Reason::Cancelled, call.status().message());
    if (!call.ok())
        return refusal(Reason::BadRequest, call.status().message());
    call->callerDeadline = call->context.deadline;
    const Reason early = refuseEarly(state.decisions, *call, now);
    if (early != Reason::None) {
        const AttemptEnd end { Outcome::NotRun, early, true };
        closeCall(state.decisions, *call, end, now);
        state.metrics.countCall({ call->context.priority, end.outcome, early }, absl::ZeroDuration());
        state.requestLog.record("call-refused", call->context.requestId, false,
            { { "request", call->context.requestId }, { "caller", call->context.caller },
                { "kind", call->context.kind }, { "reason", toText(early) }, { "rank", call->context.rank },
                { "config", state.configuration.version } });
        return refusal(early, "");
    }
    dropOwnHeaders(request);
    relay::setHeader(request, kRequestIdHeader, call->context.requestId);
    return *std::move(call);
}

void markAnswer(relay::Response& response, const AttemptEnd& end)
{
    dropOwnHeaders(response);
    relay::setHeader(response, kOutcomeHeader, toText(end.outcome));
    if (end.reason != Reason::None)
        relay::setHeader(response, kReasonHeader, toText(end.reason));
}

std::optional<CallFailure> failureOf(ClaimEnd end)
{
    switch (end) {
    case ClaimEnd::Claimed:
        return std::nullopt;
    case ClaimEnd::Duplicate:
        return CallFailure { Outcome::Unknown, Reason::Duplicate, "this request id was used before" };
    case ClaimEnd::Unavailable:
        return CallFailure { Outcome::NotRun, Reason::PlatformUnavailable,
            "the platform can't tell now whether this ran before" };
    case ClaimEnd::BadId:
        return CallFailure { Outcome::NotRun, Reason::BadRequest,
            "Jackdaw-Request-Id of unrepeatable work must be t<unix seconds>-<unique>, not older than an "
            "hour" };
    }
    return std::nullopt;
}

} // namespace

absl::StatusOr<CallAsk> readCallAsk(const relay::Request& request)
{
    const auto text = [&](const char* name) { return std::string(relay::headerOf(request, name)); };
    CallAsk ask;
    ask.service = text(kServiceHeader);
    ask.caller = text(kCallerHeader);
    ask.kind = text(kKindHeader);
    ask.requestId = text(kRequestIdHeader);
    absl::Status status = checkNames(ask);
    status.Update(readToken(text(kParentHeader), ask));
    status.Update(readDeadline(text(kDeadlineHeader), ask));
    status.Update(readRepeat(text(kRepeatHeader), ask));
    if (!status.ok())
        return status;
    return ask;
}

relay::HeaderNames catalogueHeaders()
{
    relay::HeaderNames names;
    names.requestId = kRequestIdHeader;
    names.timeLeft = kDeadlineHeader;
    names.caller = kCallerHeader;
    names.seal.clear();
    names.notRun = kOutcomeHeader;
    names.notRunText = std::string(toText(Outcome::NotRun));
    names.expectTarget.clear();
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
        return absl::InvalidArgumentError("no packed catalogue");
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
    relay::CallInterface made;
    made.open = open;
    made.failure = failureAnswer;
    made.mark = markAnswer;
    made.claim = [objects](const OutboundCall& call, relay::ClaimDone done) {
        claimRequest(objects, call.context.requestId, absl::Now(),
            [objects, done = std::move(done)](const Claim& claim) {
                std::function<void()> release;
                if (claim.end == ClaimEnd::Claimed)
                    release = [objects, claim] { releaseClaim(objects, claim); };
                done(failureOf(claim.end), std::move(release));
            });
    };
    return made;
}

} // namespace jackdawwall
