#include "callers.h"

#include "jackdawwall/core.h"
#include "wire-names.h"

#include "absl/strings/str_cat.h"

#include <csignal>

namespace jackdawwall::soak {
namespace {

using relay::ExchangeResult;
using relay::ExchangeStatus;
using relay::Request;
using relay::http::verb;

constexpr auto kSendInterval = std::chrono::milliseconds(7);
constexpr auto kReadinessInterval = std::chrono::milliseconds(250);
constexpr auto kProbeInterval = std::chrono::milliseconds(200);
constexpr int kDeadlineMs = 1500;
/// A caller waits this much longer for the response than the deadline that it sends.
constexpr absl::Duration kResponseGrace = absl::Milliseconds(500);
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(800);
constexpr int kFailedChecksUntilNotReady = 2;
constexpr int kDisconnectOneIn = 8; ///< The caller of one request in this many may disconnect early.

struct CallKind {
    const char* prefix;
    const char* service;
    verb method;
    bool isIdempotent;
    int weight;
    std::uint64_t maxBodyBytes; ///< Bodies are shorter than this.
};
constexpr std::array<CallKind, 3> kCallKinds { { { "/read/", "ledger", verb::get, true, 6, 0 },
    { "/book/", "ledger", verb::post, false, 3, 30'000 },
    { "/photo/", "photos", verb::post, false, 1, 300'000 } } };

const Limits kLimits;

} // namespace

Callers::Callers(relay::asio::io_context& loop, Record& record, Fleet& fleet, std::uint64_t seed)
    : loop_(loop)
    , record_(record)
    , fleet_(fleet)
    , random_(seed)
    , pool_(loop)
    , sendTimer_(loop)
    , readinessTimer_(loop)
    , probeTimer_(loop)
{
}

void Callers::start()
{
    readinessLoop();
    sendLoop();
    probeLoop();
}

std::shared_ptr<relay::UpstreamConnection> Callers::sendRequest(const std::string& address, Request request,
    absl::Duration timeout, const std::function<void(ExchangeResult)>& done)
{
    request.set(relay::http::field::host, "soak.example");
    request.prepare_payload();
    relay::ExchangeRequest exchange;
    exchange.bytes = relay::serializeRequest(request);
    exchange.connectTimeout = absl::Milliseconds(500);
    return pool_.sendWithTimeout(relay::parseEndpoint(address), std::move(exchange), timeout, done);
}

void Callers::readinessLoop()
{
    for (const auto& entry : fleet_.members) {
        Member* member = entry.get();
        sendRequest(member->readyAddress, Request { verb::get, "/ready", 11 }, absl::Milliseconds(500),
            [member](const ExchangeResult& result) {
                const bool isOk
                    = result.status == ExchangeStatus::Complete && result.response.result_int() == 200;
                member->failedReadinessChecks = isOk ? 0 : member->failedReadinessChecks + 1;
                member->isReady
                    = isOk || (member->isReady && member->failedReadinessChecks < kFailedChecksUntilNotReady);
            });
    }
    readinessTimer_.expires_after(kReadinessInterval);
    readinessTimer_.async_wait([this](relay::beast::error_code error) {
        if (!error)
            readinessLoop();
    });
}

void Callers::sendLoop()
{
    if (!isStopped_)
        sendRandomCall();
    sendTimer_.expires_after(kSendInterval);
    sendTimer_.async_wait([this](relay::beast::error_code error) {
        if (!error)
            sendLoop();
    });
}

void Callers::sendRandomCall()
{
    std::vector<int> ready;
    for (std::size_t index = 0; index < fleet_.members.size(); ++index) {
        if (fleet_.members[index]->isReady)
            ready.push_back(static_cast<int>(index));
    }
    if (ready.empty())
        return;
    int drawn = std::uniform_int_distribution<>(0, 9)(random_);
    std::size_t chosen = 0;
    while (chosen + 1 < kCallKinds.size() && drawn >= kCallKinds.at(chosen).weight)
        drawn -= kCallKinds.at(chosen++).weight;
    const CallKind& kind = kCallKinds.at(chosen);
    const int node = ready[random_() % ready.size()];
    const std::string id = absl::StrCat("r", ++requestCount_);
    Request request { kind.method, absl::StrCat(kind.prefix, id), 11 };
    if (kind.method == verb::post)
        request.body().assign(random_() % kind.maxBodyBytes, 'p');
    const relay::HeaderNames names = platform::headerNames();
    request.set(names.requestId, id);
    request.set(names.remainingTime, absl::StrCat(kDeadlineMs));
    record_.callSent(id, { kind.service, kind.isIdempotent, relay::steadyNow(), stableHash(request.body()) });
    const auto connection = sendRequest(fleet_.members[static_cast<std::size_t>(node)]->callerAddress,
        std::move(request), absl::Milliseconds(kDeadlineMs) + kResponseGrace,
        [this, id, node](const ExchangeResult& result) { onExchangeEnd(id, node, result); });
    if (random_() % kDisconnectOneIn == 0)
        disconnectLater(id, connection, node);
}

Target* Callers::targetExecuting(const std::string& id)
{
    for (const auto& member : fleet_.members) {
        if (member->target->executionEnd(id))
            return member->target.get();
    }
    return nullptr;
}

/// Closes the connection while the request is being executed, and checks after Limits::cancel whether the
/// execution has ended.
void Callers::disconnectLater(
    const std::string& id, const std::shared_ptr<relay::UpstreamConnection>& connection, int node)
{
    auto timer = std::make_shared<relay::asio::steady_timer>(
        loop_, std::chrono::milliseconds(std::uniform_int_distribution<>(5, 40)(random_)));
    timer->async_wait([this, timer, id, connection, node](relay::beast::error_code) {
        Target* target = targetExecuting(id);
        if (target == nullptr)
            return; // Already finished, refused or still in transit.
        connection->cancel();
        if (*target->executionEnd(id) < relay::steadyNow() + kLimits.cancel * 1.5)
            return; // It would end by itself at about the time of the check, which would prove nothing.
        timer->expires_after(absl::ToChronoMicroseconds(kLimits.cancel));
        timer->async_wait([this, timer, id, node, target](relay::beast::error_code) {
            const bool isCounted
                = relay::steadyNow() > fleet_.members[static_cast<std::size_t>(node)]->disturbedUntil
                && !target->isPathDisturbed();
            if (isCounted)
                record_.workAfterDisconnect(id, target->executionEnd(id).has_value());
        });
    });
}

void Callers::onExchangeEnd(const std::string& id, int node, const ExchangeResult& result)
{
    const Member& member = *fleet_.members[static_cast<std::size_t>(node)];
    if (result.status == ExchangeStatus::Complete) {
        const bool isExpected = result.response.body() == expectedBody(id)
            && relay::headerValue(result.response, platform::headerNames().requestId) == id;
        record_.responseReceived(id, { result.response.result_int(), isExpected });
        return;
    }
    record_.responseReceived(id, {});
    const Target* target = targetExecuting(id);
    const bool isPlannedStop
        = relay::steadyNow() > member.stopSentAt && relay::steadyNow() > member.disturbedUntil;
    const bool isTruncated
        = result.status == ExchangeStatus::Lost || result.status == ExchangeStatus::Malformed;
    if (isPlannedStop && isTruncated && target != nullptr && target->isHealthy()
        && !target->isPathDisturbed())
        record_.reportViolation("planned-stop", absl::StrCat("request=", id, " was aborted"));
}

void Callers::probeLoop()
{
    for (const auto& member : fleet_.members) {
        if (member->isReady)
            probe(*member);
    }
    probeTimer_.expires_after(kProbeInterval);
    probeTimer_.async_wait([this](relay::beast::error_code error) {
        if (!error)
            probeLoop();
    });
}

/// Sends a request to "/v<version>/". Only the newest configuration version and the next one have this route,
/// so a 404 shows that the node still applies an older version.
void Callers::probe(Member& member)
{
    const std::uint64_t version = fleet_.version();
    const absl::Time sentAt = relay::steadyNow();
    const std::string id = absl::StrCat("p", ++requestCount_);
    Request request { verb::get, absl::StrCat("/v", version, "/", id), 11 };
    const relay::HeaderNames names = platform::headerNames();
    request.set(names.requestId, id);
    request.set(names.remainingTime, absl::StrCat(kDeadlineMs));
    record_.callSent(id, { "photos", true, sentAt, stableHash("") });
    const std::string process = absl::StrCat(member.name, "#", member.startCount);
    sendRequest(member.callerAddress, std::move(request), kProbeTimeout,
        [this, &member, version, sentAt, process](const ExchangeResult& result) {
            const unsigned status = result.response.result_int();
            const bool isSameProcess = process == absl::StrCat(member.name, "#", member.startCount);
            const bool isConclusive = status == 200 || status == 404 || status == 502 || status == 504;
            if (result.status != ExchangeStatus::Complete || !isSameProcess || !isConclusive
                || version != fleet_.version())
                return;
            const absl::Time quietSince = sentAt - kLimits.apply;
            const bool mustBeCurrent = fleet_.configuredAt() < quietSince
                && member.disturbedUntil < quietSince && fleet_.storeDisturbedUntil < quietSince;
            record_.versionObserved(
                process, status == 404 ? version - 1 : version, version, mustBeCurrent, sentAt);
        });
}

} // namespace jackdawwall::soak
