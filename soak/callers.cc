#include "callers.h"

#include "jackdawwall/core.h"
#include "wire-names.h"

#include "absl/strings/str_cat.h"

#include <csignal>

namespace jackdawwall::soak {
namespace {

using relay::ExchangeEnd;
using relay::ExchangeResult;
using relay::Request;
using relay::http::verb;

constexpr auto kSendInterval = std::chrono::milliseconds(7);
constexpr auto kReadyInterval = std::chrono::milliseconds(250);
constexpr auto kProbeInterval = std::chrono::milliseconds(200);
constexpr int kDeadlineMs = 1500;
/// A caller waits for the answer a little longer than it says.
constexpr absl::Duration kGrace = absl::Milliseconds(500);
constexpr absl::Duration kProbeTime = absl::Milliseconds(800);
constexpr int kMissesToLeave = 2;
constexpr int kLeaveShare = 8; ///< One caller in so many leaves early.

struct Kind {
    const char* prefix;
    const char* service;
    verb method;
    bool isIdempotent;
    int weight;
    std::uint64_t mostBytes; ///< Of the body.
};
constexpr std::array<Kind, 3> kKinds { { { "/read/", "ledger", verb::get, true, 6, 0 },
    { "/book/", "ledger", verb::post, false, 3, 30'000 },
    { "/photo/", "photos", verb::post, false, 1, 300'000 } } };

const Bounds kBounds;

} // namespace

Callers::Callers(relay::asio::io_context& loop, Record& record, Fleet& fleet, std::uint64_t seed)
    : loop_(loop)
    , record_(record)
    , fleet_(fleet)
    , random_(seed)
    , pool_(loop)
    , sendTimer_(loop)
    , readyTimer_(loop)
    , probeTimer_(loop)
{
}

void Callers::start()
{
    readyLoop();
    sendLoop();
    probeLoop();
}

std::shared_ptr<relay::Upstream> Callers::ask(const std::string& address, Request request,
    absl::Duration longest, const std::function<void(ExchangeResult)>& done)
{
    request.set(relay::http::field::host, "soak.example");
    request.prepare_payload();
    relay::ExchangePlan plan;
    plan.bytes = relay::toBytes(request);
    plan.connectTime = absl::Milliseconds(500);
    return pool_.sendWithin(relay::parseEndpoint(address), std::move(plan), longest, done);
}

void Callers::readyLoop()
{
    for (const auto& held : fleet_.members) {
        Member* member = held.get();
        ask(member->readyAddress, Request { verb::get, "/ready", 11 }, absl::Milliseconds(500),
            [member](const ExchangeResult& result) {
                const bool isOk = result.end == ExchangeEnd::Complete && result.response.result_int() == 200;
                member->readyMisses = isOk ? 0 : member->readyMisses + 1;
                member->isReady = isOk || (member->isReady && member->readyMisses < kMissesToLeave);
            });
    }
    readyTimer_.expires_after(kReadyInterval);
    readyTimer_.async_wait([this](relay::beast::error_code error) {
        if (!error)
            readyLoop();
    });
}

void Callers::sendLoop()
{
    if (!isStopped_)
        sendOne();
    sendTimer_.expires_after(kSendInterval);
    sendTimer_.async_wait([this](relay::beast::error_code error) {
        if (!error)
            sendLoop();
    });
}

void Callers::sendOne()
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
    while (chosen + 1 < kKinds.size() && drawn >= kKinds.at(chosen).weight)
        drawn -= kKinds.at(chosen++).weight;
    const Kind& kind = kKinds.at(chosen);
    const int node = ready[random_() % ready.size()];
    const std::string id = absl::StrCat("r", ++count_);
    Request request { kind.method, absl::StrCat(kind.prefix, id), 11 };
    if (kind.method == verb::post)
        request.body().assign(random_() % kind.mostBytes, 'p');
    const relay::HeaderNames names = platform::headerNames();
    request.set(names.requestId, id);
    request.set(names.timeLeft, absl::StrCat(kDeadlineMs));
    record_.callSent(id, { kind.service, kind.isIdempotent, relay::steadyNow(), stableHash(request.body()) });
    const auto connection = ask(fleet_.members[static_cast<std::size_t>(node)]->callerAddress,
        std::move(request), absl::Milliseconds(kDeadlineMs) + kGrace,
        [this, id, node](const ExchangeResult& result) { onEnd(id, node, result); });
    if (random_() % kLeaveShare == 0)
        leaveLater(id, connection, node);
}

Target* Callers::workerOn(const std::string& id)
{
    for (const auto& member : fleet_.members) {
        if (member->target->executionEnd(id))
            return member->target.get();
    }
    return nullptr;
}

/// Closes the connection in the midst of the work and looks later whether the work has ended.
void Callers::leaveLater(const std::string& id, const std::shared_ptr<relay::Upstream>& connection, int node)
{
    auto timer = std::make_shared<relay::asio::steady_timer>(
        loop_, std::chrono::milliseconds(std::uniform_int_distribution<>(5, 40)(random_)));
    timer->async_wait([this, timer, id, connection, node](relay::beast::error_code) {
        Target* worker = workerOn(id);
        if (worker == nullptr)
            return; // Answered, refused or still on its way.
        connection->cancel();
        if (*worker->executionEnd(id) < relay::steadyNow() + kBounds.cancel * 1.5)
            return; // It ends by itself before anybody looks.
        timer->expires_after(absl::ToChronoMicroseconds(kBounds.cancel));
        timer->async_wait([this, timer, id, node, worker](relay::beast::error_code) {
            const bool isCounted
                = relay::steadyNow() > fleet_.members[static_cast<std::size_t>(node)]->disturbedUntil
                && !worker->isPathDisturbed();
            if (isCounted)
                record_.workAfterDisconnect(id, worker->executionEnd(id).has_value());
        });
    });
}

void Callers::onEnd(const std::string& id, int node, const ExchangeResult& result)
{
    const Member& member = *fleet_.members[static_cast<std::size_t>(node)];
    if (result.end == ExchangeEnd::Complete) {
        const bool isExpected = result.response.body() == expectedBody(id)
            && relay::headerOf(result.response, platform::headerNames().requestId) == id;
        record_.responseReceived(id, { result.response.result_int(), isExpected });
        return;
    }
    record_.responseReceived(id, {});
    const Target* worker = workerOn(id);
    const bool isPlannedStop
        = relay::steadyNow() > member.stopSentAt && relay::steadyNow() > member.disturbedUntil;
    const bool isCut = result.end == ExchangeEnd::Lost || result.end == ExchangeEnd::Malformed;
    if (isPlannedStop && isCut && worker != nullptr && worker->isHealthy() && !worker->isPathDisturbed())
        record_.reportViolation("planned-stop", absl::StrCat("request=", id, " was cut off"));
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

/// Asks for the route that only the newest version and the next one have.
void Callers::probe(Member& member)
{
    const std::uint64_t version = fleet_.version();
    const absl::Time sentAt = relay::steadyNow();
    const std::string id = absl::StrCat("p", ++count_);
    Request request { verb::get, absl::StrCat("/v", version, "/", id), 11 };
    const relay::HeaderNames names = platform::headerNames();
    request.set(names.requestId, id);
    request.set(names.timeLeft, absl::StrCat(kDeadlineMs));
    record_.callSent(id, { "photos", true, sentAt, stableHash("") });
    const std::string process = absl::StrCat(member.name, "#", member.startCount);
    ask(member.callerAddress, std::move(request), kProbeTime,
        [this, &member, version, sentAt, process](const ExchangeResult& result) {
            const unsigned status = result.response.result_int();
            const bool isSame = process == absl::StrCat(member.name, "#", member.startCount);
            const bool isTold = status == 200 || status == 404 || status == 502 || status == 504;
            if (result.end != ExchangeEnd::Complete || !isSame || !isTold || version != fleet_.version())
                return;
            const absl::Time quietSince = sentAt - kBounds.apply;
            const bool mustBeCurrent = fleet_.configuredAt() < quietSince
                && member.disturbedUntil < quietSince && fleet_.storeDisturbedUntil < quietSince;
            record_.versionObserved(
                process, status == 404 ? version - 1 : version, version, mustBeCurrent, sentAt);
        });
}

} // namespace jackdawwall::soak
