#include "relay/lease-link.h"

#include "adapter/json-reader.h"
#include "adapter/log.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <utility>

namespace jackdawwall::relay {
namespace {

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(200);
constexpr absl::Duration kReplyTimeout = absl::Milliseconds(250);
/// Time without a reply after which requests on a reused connection are repeated on a new one.
constexpr absl::Duration kSilenceTimeout = absl::Milliseconds(120);
/// How long a call waits for a token.
constexpr absl::Duration kWaitTime = absl::Milliseconds(300);
constexpr absl::Duration kMinReplyTimeout = absl::Milliseconds(50);
/// The first, the node that it names or the deputy, and the node that this one names.
constexpr int kMaxAttempts = 3;
constexpr absl::Duration kRemovalInterval = absl::Seconds(10);
constexpr std::uint64_t kMaxReplyBytes = 1U << 20;

/// Time since the start of the machine, including suspensions: tokens must not survive a suspension.
absl::Time leaseNow()
{
    timespec time {};
    if (clock_gettime(CLOCK_BOOTTIME, &time) == 0)
        return absl::TimeFromTimespec(time);
    static const bool isLogged = [] {
        logEvent(
            LogLevel::Warning, "lease-clock-unavailable", { { "clock", "boottime" }, { "used", "steady" } });
        return true;
    }();
    static_cast<void>(isLogged);
    return steadyNow();
}

/// Random number for ids; 0 stands for none.
std::uint64_t makeId(RelayState& state)
{
    return std::max<std::uint64_t>(1, state.decisions.generator());
}

} // namespace

LeaseLink::LeaseLink(RelayState& state)
    : state_(state)
    , run_(makeId(state))
    , coordinator_(makeCoordinator(makeId(state), leaseNow()))
    , knownSelf_(localMember(state))
{
}

TokenLimit LeaseLink::limitOf(const std::string& customer) const
{
    if (!state_.configuration.table)
        return {};
    const auto found = state_.configuration.table->customers.find(customer);
    if (found == state_.configuration.table->customers.end())
        return {};
    return { found->second.callsPerSecond, found->second.burst, state_.settings.limitSlack };
}

bool LeaseLink::hasLimits() const
{
    return state_.configuration.table && !state_.configuration.table->customers.empty();
}

bool LeaseLink::isLimited(const std::string& customer) const
{
    return !customer.empty() && limitOf(customer).callsPerSecond > 0;
}

std::uint64_t LeaseLink::acquire(const std::string& name, const std::string& requestId, TokenCallback done)
{
    Customer& customer = customers_[name];
    const AcquireDecision decision = acquireToken(customer.held, leaseNow());
    if (decision.result == AcquireResult::Waiting) {
        const std::uint64_t id = ++lastWaiter_;
        customer.waiters.push_back({ id, requestId, steadyNow(), std::move(done) });
        if (decision.needsRequest)
            request(name, customer);
        const bool isWaiting = std::any_of(customer.waiters.begin(), customer.waiters.end(),
            [&](const Waiter& waiter) { return waiter.id == id; });
        return isWaiting ? id : 0;
    }
    const TokenDecision result { decision.result, decision.period, decision.retryAfter };
    if (decision.needsRequest)
        request(name, customer);
    if (result.result != AcquireResult::Taken)
        recordRefusal(name, customer, requestId, result);
    done(result);
    return 0;
}

void LeaseLink::cancel(const std::string& name, std::uint64_t id)
{
    const auto found = customers_.find(name);
    if (found != customers_.end()
        && std::erase_if(found->second.waiters, [&](const Waiter& waiter) { return waiter.id == id; }) > 0)
        stopWaiting(found->second.held);
}

void LeaseLink::giveBack(const std::string& name, std::uint64_t period)
{
    const auto found = customers_.find(name);
    if (found != customers_.end() && returnToken(found->second.held, period, leaseNow()))
        state_.metrics.countLimitEvent("token-returned", 1);
}

LeaseRequest LeaseLink::makeRequest(Customer& customer, bool isDeputy)
{
    LeaseRequest request = startLeaseRequest(customer.held, leaseNow());
    request.holder = state_.decisions.membership.self;
    request.run = run_;
    request.isDeputyRequest = isDeputy;
    state_.metrics.countLimitEvent("lease-request", 1);
    return request;
}

void LeaseLink::request(const std::string& name, Customer& customer)
{
    const MembershipState& membership = state_.decisions.membership;
    if (customer.choiceVersion != membership.lastChange) {
        customer.choice = chooseCoordinators(membership, name);
        customer.choiceVersion = membership.lastChange;
    }
    customer.attempts = 0;
    requestFrom(name, customer, chooseLeaseTarget(customer.choice, skipped_, leaseNow()));
}

void LeaseLink::requestFrom(const std::string& name, Customer& customer, const LeaseTarget& target)
{
    customer.held.isRequestPending = true; // Also while it is queued.
    customer.coordinator = target.address;
    if (target.address.empty() || customer.attempts++ >= kMaxAttempts) {
        decide(name, customer, failLeaseRequest(customer.held, customer.held.request, leaseNow()));
        return;
    }
    if (target.address == state_.decisions.membership.self) {
        const LeaseRequest request = makeRequest(customer, target.isDeputy);
        applyReply({ name, request.number }, answer(name, request));
        return;
    }
    Route& route = routes_[target.address];
    route.queue.push_back({ name, target.isDeputy });
    flush(target.address, route);
}

void LeaseLink::flush(const std::string& address, Route& route)
{
    if (route.isRequestPending || route.queue.empty())
        return;
    route.isRequestPending = true;
    LeaseRequests requests;
    std::vector<SentRequest> sent;
    absl::Duration timeout = kReplyTimeout;
    for (const QueuedRequest& queued : std::exchange(route.queue, {})) {
        Customer& customer = customers_[queued.customer];
        requests.push_back({ queued.customer, makeRequest(customer, queued.isDeputy) });
        sent.push_back({ queued.customer, requests.back().content.number });
        if (!customer.waiters.empty())
            timeout = std::min(timeout, customer.waiters.front().since + kWaitTime - steadyNow());
    }
    Request request { http::verb::post, "/", 11 };
    setHeader(request, kLeaseHeader, "1");
    request.body() = encodeLeaseRequests(requests);
    request.prepare_payload();
    ExchangeRequest exchange;
    exchange.bytes = serializeRequest(request);
    state_.metrics.countControlBytes(exchange.bytes.size());
    exchange.connectTimeout = kConnectTimeout;
    exchange.silenceTimeout = kSilenceTimeout;
    exchange.maxResponseBytes = kMaxReplyBytes;
    state_.pool.sendWithTimeout(parseEndpoint(address), std::move(exchange),
        std::max(timeout, kMinReplyTimeout),
        [this, address, sent](const ExchangeResult& result) { onReply(address, sent, result); });
}

void LeaseLink::onReply(
    const std::string& address, const std::vector<SentRequest>& sent, const ExchangeResult& result)
{
    Route& route = routes_[address];
    route.isRequestPending = false;
    const absl::StatusOr<LeaseReplies> replies
        = result.status == ExchangeStatus::Complete && result.response.result() == http::status::ok
        ? decodeLeaseReplies(result.response.body())
        : absl::StatusOr<LeaseReplies>(absl::UnavailableError(
            result.isTimedOut ? "timeout" : absl::StrCat("status ", result.response.result_int())));
    if (!replies.ok()) {
        onUnreachable(address, sent, replies.status().message());
        return;
    }
    for (const SentRequest& request : sent) {
        const auto reply = std::find_if(replies->begin(), replies->end(),
            [&](const auto& entry) { return entry.customer == request.customer; });
        applyReply(request, reply == replies->end() ? LeaseReply {} : reply->content);
    }
    flush(address, route);
}

void LeaseLink::onUnreachable(
    const std::string& address, const std::vector<SentRequest>& sent, absl::string_view cause)
{
    skipCoordinator(skipped_, address, leaseNow());
    state_.metrics.countLimitEvent("coordinator-unreachable", 1);
    logEvent(LogLevel::Info, "limit-coordinator-unreachable",
        { { "coordinator", address }, { "customers", sent.size() }, { "cause", cause } });
    std::vector<std::string> customers;
    customers.reserve(sent.size());
    for (const SentRequest& request : sent)
        customers.push_back(request.customer);
    for (const QueuedRequest& queued : std::exchange(routes_[address].queue, {}))
        customers.push_back(queued.customer);
    for (const std::string& name : customers) {
        const auto found = customers_.find(name);
        if (found == customers_.end() || !found->second.held.isRequestPending)
            continue;
        Customer& customer = found->second;
        cancelLeaseRequest(customer.held, customer.held.request);
        requestFrom(name, customer, chooseLeaseTarget(customer.choice, skipped_, leaseNow()));
    }
}

void LeaseLink::applyReply(const SentRequest& sent, const LeaseReply& reply)
{
    const auto found = customers_.find(sent.customer);
    if (found == customers_.end())
        return;
    Customer& customer = found->second;
    const bool isCurrent = customer.held.isRequestPending && customer.held.request == sent.number;
    if (isCurrent && reply.status == LeaseStatus::NotResponsible && !reply.responsible.empty()
        && reply.responsible != customer.coordinator) {
        cancelLeaseRequest(customer.held, sent.number);
        requestFrom(sent.customer, customer, { reply.responsible, false });
        return;
    }
    decide(sent.customer, customer, applyLeaseReply(customer.held, sent.number, reply, leaseNow()));
}

void LeaseLink::decide(const std::string& name, Customer& customer, const WaitersDecision& decision)
{
    std::vector<std::pair<Waiter, TokenDecision>> decided;
    const auto take = [&](const TokenDecision& result) {
        decided.emplace_back(std::move(customer.waiters.front()), result);
        customer.waiters.pop_front();
    };
    for (std::uint32_t count = 0; count < decision.taken; ++count)
        take({ AcquireResult::Taken, decision.period, {} });
    for (std::uint32_t count = 0; count < decision.refused; ++count)
        take({ decision.refusal.result, 0, decision.refusal.retryAfter });
    for (const auto& [waiter, result] : decided) {
        if (result.result != AcquireResult::Taken)
            recordRefusal(name, customer, waiter.requestId, result);
    }
    if (decision.needsRequest)
        request(name, customer);
    // Last, because the callbacks may acquire, cancel or give back tokens.
    for (const auto& [waiter, result] : decided)
        waiter.done(result);
}

void LeaseLink::recordRefusal(const std::string& name, const Customer& customer, const std::string& requestId,
    const TokenDecision& decision)
{
    const bool isOverLimit = decision.result == AcquireResult::OverLimit;
    state_.metrics.countLimitEvent(isOverLimit ? "refused-over-limit" : "refused-unknown", 1);
    const absl::Time now = leaseNow();
    const TokenLimit limit = limitOf(name);
    const bool hasGrant = customer.held.grantedAt != absl::InfinitePast();
    state_.requestLog.record("limit-refused", requestId, false,
        { { "request", requestId }, { "customer", name }, { "cause", isOverLimit ? "over-limit" : "unknown" },
            { "limit_per_s", limit.callsPerSecond }, { "burst", limit.burst },
            { "held", usableTokens(customer.held, now) }, { "coordinator", customer.coordinator },
            { "grant_age_ms", hasGrant ? absl::ToInt64Milliseconds(now - customer.held.grantedAt) : -1 },
            { "retry_ms", absl::ToInt64Milliseconds(decision.retryAfter) },
            { "config", state_.configuration.version } });
}

LeaseReply LeaseLink::answer(const std::string& customer, const LeaseRequest& request)
{
    const TokenLimit limit = limitOf(customer);
    if (limit.callsPerSecond <= 0) // An older configuration than that of the holder.
        return {};
    const absl::Time steady = steadyNow();
    const absl::Time now = leaseNow();
    CoordinatorStanding standing
        = standingFor(state_.decisions.membership, customer, request.isDeputyRequest, steady);
    standing.firstSince += now - steady;
    tickCoordinator(coordinator_, condition(), now);
    LeaseReply reply = grantTokens(coordinator_, customer, limit, standing, request, now);
    state_.metrics.countLimitEvent("token-granted", reply.tokens);
    return reply;
}

void LeaseLink::accept(const IncomingRequestPtr& incoming)
{
    const absl::StatusOr<LeaseRequests> requests = decodeLeaseRequests(incoming->request.body());
    if (!requests.ok()) {
        logEvent(LogLevel::Warning, "lease-request-unreadable", { { "error", requests.status().message() } });
        incoming->respond(makeTextResponse(http::status::bad_request, "unreadable\n"));
        return;
    }
    LeaseReplies replies;
    for (const auto& [customer, request] : *requests)
        replies.push_back({ customer, answer(customer, request) });
    std::string text = encodeLeaseReplies(replies);
    state_.metrics.countControlBytes(text.size());
    incoming->respond(makeJsonResponse(http::status::ok, std::move(text)));
}

/// A refutation raises the incarnation of this node's record and changes nothing else.
NodeCondition LeaseLink::condition()
{
    const Member& self = localMember(state_);
    if (self.incarnation != knownSelf_.incarnation) {
        knownSelf_.incarnation = self.incarnation;
        refutations_ += self == knownSelf_ ? 1 : 0;
        knownSelf_ = self;
    }
    return { refutations_, isCutOff(state_.decisions.membership, steadyNow()) };
}

void LeaseLink::tick()
{
    if (!hasLimits()) {
        if (!customers_.empty())
            removeIdle();
        return;
    }
    const absl::Time now = leaseNow();
    tickCoordinator(coordinator_, condition(), now);
    if (now < nextRemoval_ && version_ == state_.configuration.version)
        return;
    nextRemoval_ = now + kRemovalInterval;
    version_ = state_.configuration.version;
    removeIdle();
}

void LeaseLink::removeIdle()
{
    const absl::Time now = leaseNow();
    std::erase_if(customers_, [&](const auto& item) {
        const Customer& customer = item.second;
        const bool isUnused = customer.waiters.empty() && !customer.held.isRequestPending;
        return isUnused && (isIdle(customer.held, now) || !isLimited(item.first));
    });
    std::erase_if(routes_, [](const auto& item) { return !item.second.isRequestPending; });
    retainCustomers(coordinator_, [&](const std::string& name) { return isLimited(name); });
}

std::string LeaseLink::describe() const
{
    const absl::Time now = leaseNow();
    Json::Value result(Json::objectValue);
    result["cutOff"] = isCutOff(state_.decisions.membership, steadyNow());
    result["config"] = Json::UInt64(state_.configuration.version);
    Json::Value& used = result["customers"] = Json::Value(Json::arrayValue);
    for (const auto& [name, customer] : customers_) {
        const HeldTokens& held = customer.held;
        const TokenLimit limit = limitOf(name);
        Json::Value value(Json::objectValue);
        value["name"] = name;
        value["limitPerSecond"] = limit.callsPerSecond;
        value["burst"] = limit.burst;
        value["coordinator"] = customer.coordinator;
        value["held"] = usableTokens(held, now);
        value["waiting"] = Json::UInt64(customer.waiters.size());
        value["demandPerSecond"] = held.demand;
        value["taken"] = Json::UInt64(held.taken);
        value["refused"] = Json::UInt64(held.refused);
        if (held.grantedAt != absl::InfinitePast())
            value["grantAgeMs"] = Json::Int64(absl::ToInt64Milliseconds(now - held.grantedAt));
        used.append(value);
    }
    Json::Value& coordinated = result["coordinated"] = Json::Value(Json::arrayValue);
    for (const auto& [name, tokens] : coordinator_.customers) {
        constexpr std::array<const char*, 3> kRoles { "none", "first", "substitute" };
        Json::Value value(Json::objectValue);
        value["name"] = name;
        value["role"] = kRoles.at(static_cast<std::size_t>(tokens.role));
        value["level"] = tokens.level;
        value["leased"] = tokens.leased;
        value["holders"] = Json::UInt64(tokens.leases.size());
        coordinated.append(value);
    }
    return canonicalJson(result) + "\n";
}

} // namespace jackdawwall::relay
