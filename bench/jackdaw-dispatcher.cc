// Runs the production decision code of each node in virtual time.
#include "bench/model.h"

#include "absl/strings/str_cat.h"

#include <ostream>

namespace jackdawwall::bench {

namespace {

constexpr absl::Duration kTick = absl::Milliseconds(10);
constexpr int kTicksPerTrace = 10;

/// A call that arrived at the target's node.
struct Arrival {
    CallContext context;
    ModelCall call;
    std::function<void(const AttemptReport&)> respond; ///< Sends the report to the caller's node.
};

struct NodeModel {
    NodeDecisions decisions;
    std::size_t service = 0;
    std::size_t target = 0;
    CallId lastCallId = 0;
    absl::flat_hash_map<CallId, std::shared_ptr<Arrival>> waiting;
};

/// One outbound call and its attempts.
struct Flow {
    OutboundCall call;
    ModelCall model;
    CompletionHandler done;
    bool isClosed = false;
    int attemptsInProgress = 0;
    std::vector<CancellationPtr> cancellations; ///< One per attempt.
    std::vector<CallAttempt> attempts;
};

} // namespace

class JackdawDispatcher : public CallDispatcher {
public:
    JackdawDispatcher(Fleet& fleet, std::uint64_t seed)
        : fleet_(fleet)
    {
        makeCatalogue();
        std::mt19937_64 seeds(seed);
        for (std::size_t service = 0; service < fleet.targets_.size(); ++service) {
            for (std::size_t target = 0; target < fleet.targets_[service].size(); ++target)
                addNode(service, target, seeds());
        }
        mergeAllMembers();
        tick();
    }

    void call(const ModelCall& call, CompletionHandler done) override
    {
        NodeModel& node = *nodes_[call.fromNode];
        CallRequest request;
        request.service = fleet_.model.services[call.service].name;
        request.kind = fleet_.model.kinds[call.kind].name;
        request.caller = fleet_.model.kinds[call.kind].caller;
        request.requestId = call.parent == 0 ? call.requestId : "";
        request.deadline = call.deadline - now();
        request.parent = call.parent;
        absl::StatusOr<OutboundCall> opened = openCall(node.decisions, catalogue_, request, now());
        if (!opened.ok())
            return done(false);
        const Reason refusal = checkBeforeSending(node.decisions, *opened, now());
        if (refusal != Reason::None) {
            closeCall(node.decisions, *opened, { Outcome::NotRun, refusal }, now());
            return done(false);
        }
        auto flow = std::make_shared<Flow>();
        flow->call = *std::move(opened);
        flow->model = call;
        flow->done = std::move(done);
        call.cancellation->callbacks.push_back([this, flow] { abortFlow(flow, Reason::Cancelled); });
        fleet_.simulation.at(flow->call.context.deadline, [this, flow] { abortFlow(flow, Reason::Timeout); });
        startNextAttempt(flow, { Outcome::NotRun, Reason::NoTarget });
    }

private:
    absl::Time now() const { return fleet_.simulation.now(); }

    NodeModel& nodeOf(const Flow& flow) { return *nodes_[flow.model.fromNode]; }

    void makeCatalogue()
    {
        catalogue_.version = 1;
        for (const KindModel& kind : fleet_.model.kinds) {
            WorkEntry work;
            work.name = kind.name;
            work.priority = kind.priority;
            work.isIdempotent = kind.isIdempotent;
            work.deadline = fleet_.model.deadline;
            work.attempts = fleet_.model.attempts;
            catalogue_.works[work.name] = work;
            CallerEntry caller;
            caller.name = kind.caller;
            caller.weight = kind.weight;
            caller.callsPerSecond = kind.callsPerSecond;
            catalogue_.callers[caller.name] = caller;
        }
    }

    void addNode(std::size_t service, std::size_t target, std::uint64_t seed)
    {
        Member self;
        self.peerAddress = absl::StrCat(service, ".", target);
        self.incarnation = 1;
        self.service = fleet_.model.services[service].name;
        self.dataCentre = "one";
        auto node = std::make_unique<NodeModel>();
        node->decisions = makeNodeDecisions(self, seed, now());
        node->service = service;
        node->target = target;
        byAddress_[self.peerAddress] = nodes_.size();
        nodes_.push_back(std::move(node));
    }

    void mergeAllMembers()
    {
        std::vector<Member> all;
        for (const auto& node : nodes_)
            all.push_back(allMembers(node->decisions.membership).front());
        for (const auto& node : nodes_)
            mergeMembers(node->decisions.membership, all, now());
    }

    void tick()
    {
        for (const auto& node : nodes_)
            release(*node, advanceTime(node->decisions.admission, now()));
        if (fleet_.model.trace != nullptr && ++ticks_ % kTicksPerTrace == 0)
            trace();
        fleet_.simulation.after(kTick, [this] { tick(); });
    }

    /// Prints the state of the first node of each service.
    void trace()
    {
        for (const auto& node : nodes_) {
            if (node->target != 0)
                continue;
            const AdmissionState& admission = node->decisions.admission;
            *fleet_.model.trace << "t=" << absl::ToUnixMillis(now()) % 1000000 << " service=" << node->service
                                << " limit=" << currentLimit(admission.limit)
                                << " inflight=" << inFlight(admission)
                                << " waiting=" << admission.waiting.size()
                                << " dip=" << admission.limit.isProbing << " long=" << admission.longInFlight
                                << " short-demand=" << admission.shortDemand
                                << " slowness=" << admission.limit.recentSlowdown
                                << " mean=" << admission.limit.meanTime
                                << " samples=" << admission.limit.window.samples
                                << " slow=" << admission.limit.window.slowdownSum
                                << " budget=" << admission.share.budget;
            for (const auto& [key, demand] : admission.share.demands)
                *fleet_.model.trace << " " << toText(key.priority) << "=" << demand.fraction << "/"
                                    << demand.demand;
            *fleet_.model.trace << "\n";
        }
    }

    void startNextAttempt(const std::shared_ptr<Flow>& flow, const AttemptResult& last)
    {
        std::optional<CallAttempt> attempt = startAttempt(nodeOf(*flow).decisions, flow->call, now());
        if (!attempt)
            return close(flow, finalResult(flow->call, last));
        const absl::Duration delay = hedgeAfter(nodeOf(*flow).decisions, flow->call);
        send(flow, *attempt);
        if (delay == absl::InfiniteDuration())
            return;
        const std::size_t attemptCount = flow->cancellations.size();
        fleet_.simulation.after(delay, [this, flow, attemptCount] { hedge(flow, attemptCount); });
    }

    void hedge(const std::shared_ptr<Flow>& flow, std::size_t attemptCount)
    {
        if (flow->isClosed || flow->cancellations.size() != attemptCount || flow->attemptsInProgress != 1)
            return;
        std::optional<CallAttempt> attempt = startHedge(nodeOf(*flow).decisions, flow->call, now());
        if (attempt)
            send(flow, *attempt);
    }

    void send(const std::shared_ptr<Flow>& flow, const CallAttempt& attempt)
    {
        ++fleet_.roots_[flow->model.root].sentCalls;
        ++flow->attemptsInProgress;
        auto arrival = std::make_shared<Arrival>();
        arrival->context = flow->call.context;
        arrival->call = flow->model;
        arrival->call.cancellation = std::make_shared<Cancellation>();
        const std::size_t index = flow->cancellations.size();
        flow->cancellations.push_back(arrival->call.cancellation);
        flow->attempts.push_back(attempt);
        arrival->respond = [this, flow, index](const AttemptReport& report) {
            fleet_.simulation.after(
                fleet_.model.networkDelay, [this, flow, index, report] { settle(flow, index, report); });
        };
        const std::size_t receiver = byAddress_.at(attempt.address);
        fleet_.simulation.after(
            fleet_.model.networkDelay, [this, receiver, arrival] { arrive(*nodes_[receiver], arrival); });
    }

    void settle(const std::shared_ptr<Flow>& flow, std::size_t index, const AttemptReport& report)
    {
        if (flow->isClosed || flow->cancellations[index]->isCancelled)
            return;
        --flow->attemptsInProgress;
        NodeDecisions& decisions = nodeOf(*flow).decisions;
        recordReport(decisions, flow->call, flow->attempts[index], report, now());
        flow->cancellations[index]->isCancelled = true;
        if (report.result.outcome == Outcome::Ok)
            return close(flow, report.result);
        if (flow->attemptsInProgress > 0)
            return; // The other attempt may still succeed.
        if (tryAcquireCallRetry(decisions, flow->call, report.result, now()))
            return startNextAttempt(flow, report.result);
        close(flow, finalResult(flow->call, report.result));
    }

    void cancelAttempts(Flow& flow)
    {
        for (std::size_t index = 0; index < flow.cancellations.size(); ++index) {
            if (flow.cancellations[index]->isCancelled)
                continue;
            recordCancelledAttempt(nodeOf(flow).decisions, flow.attempts[index], now());
            const CancellationPtr cancellation = flow.cancellations[index];
            fleet_.simulation.after(fleet_.model.networkDelay, [cancellation] { cancellation->cancel(); });
        }
    }

    void close(const std::shared_ptr<Flow>& flow, const AttemptResult& end)
    {
        if (std::exchange(flow->isClosed, true))
            return;
        cancelAttempts(*flow);
        closeCall(nodeOf(*flow).decisions, flow->call, end, now());
        const CompletionHandler done = std::exchange(flow->done, nullptr);
        done(end.outcome == Outcome::Ok);
    }

    void abortFlow(const std::shared_ptr<Flow>& flow, Reason reason)
    {
        close(flow, { Outcome::Unknown, reason });
    }

    void arrive(NodeModel& node, const std::shared_ptr<Arrival>& arrival)
    {
        if (arrival->call.cancellation->isCancelled)
            return;
        const CallId id = ++node.lastCallId;
        const Decision decision
            = offerCall(node.decisions.admission, makeOfferedCall(arrival->context, id, 0), now());
        if (decision.verdict == Verdict::Start)
            return run(node, id, arrival);
        if (decision.verdict == Verdict::Refuse)
            return refuse(node, arrival, decision.reason);
        node.waiting.emplace(id, arrival);
        arrival->call.cancellation->callbacks.push_back([this, &node, id] {
            if (node.waiting.erase(id) > 0)
                cancelWaitingCall(node.decisions.admission, id);
        });
    }

    void refuse(NodeModel& node, const std::shared_ptr<Arrival>& arrival, Reason reason)
    {
        AttemptReport report;
        report.result = { Outcome::NotRun, reason };
        report.hasResponse = true;
        report.feedback = feedbackFor(node.decisions, arrival->context, 0);
        arrival->respond(report);
    }

    void release(NodeModel& node, const QueueUpdate& release)
    {
        for (const RefusedCall& refused : release.refused) {
            const std::shared_ptr<Arrival> arrival = node.waiting.extract(refused.id).mapped();
            refuse(node, arrival, refused.reason);
        }
        for (const CallId id : release.started) {
            const std::shared_ptr<Arrival> arrival = node.waiting.extract(id).mapped();
            run(node, id, arrival);
        }
    }

    void run(NodeModel& node, CallId id, const std::shared_ptr<Arrival>& arrival)
    {
        const CallToken token = openInbound(node.decisions, arrival->context);
        auto job = std::make_shared<TargetModel::Job>();
        job->root = arrival->call.root;
        job->workFactor = fleet_.model.kinds[arrival->call.kind].workFactor;
        job->cancellation = arrival->call.cancellation;
        job->done = [this, &node, id, token, arrival](bool isOk) { finish(node, id, token, arrival, isOk); };
        if (node.service + 1 < fleet_.model.services.size())
            job->next = [this, &node, token, arrival](const CompletionHandler& done) {
                ModelCall downstreamCall = arrival->call;
                ++downstreamCall.service;
                downstreamCall.parent = token;
                downstreamCall.fromNode = byAddress_.at(node.decisions.membership.self);
                downstreamCall.deadline = arrival->context.deadline;
                call(downstreamCall, done);
            };
        if (node.service == 0)
            ++fleet_.roots_[job->root].executions;
        if (!fleet_.targets_[node.service][node.target]->accept(job, fleet_.roots_)) {
            const absl::Duration downstreamTime = closeInbound(node.decisions, token, now());
            release(node,
                finishCall(node.decisions.admission, id, RunResult::RefusedByTarget, downstreamTime, now()));
            refuse(node, arrival, Reason::TargetShed);
        }
    }

    void finish(
        NodeModel& node, CallId id, CallToken token, const std::shared_ptr<Arrival>& arrival, bool isOk)
    {
        AttemptReport report;
        report.hasResponse = true;
        report.feedback = feedbackFor(node.decisions, arrival->context, token);
        const bool hasDownstreamFailure = report.feedback->hasDownstreamFailure;
        if (!isOk)
            report.result = { Outcome::Failed, Reason::TargetFailed, !hasDownstreamFailure };
        const absl::Duration downstreamTime = closeInbound(node.decisions, token, now());
        const bool isCallCancelled = arrival->call.cancellation->isCancelled;
        const RunResult end = isCallCancelled ? RunResult::Aborted : RunResult::Completed;
        release(node, finishCall(node.decisions.admission, id, end, downstreamTime, now()));
        if (!isCallCancelled)
            arrival->respond(report);
    }

    Fleet& fleet_;
    Catalogue catalogue_;
    int ticks_ = 0;
    std::vector<std::unique_ptr<NodeModel>> nodes_;
    absl::flat_hash_map<std::string, std::size_t> byAddress_;
};

std::unique_ptr<CallDispatcher> makeJackdawDispatcher(Fleet& fleet, std::uint64_t seed)
{
    return std::make_unique<JackdawDispatcher>(fleet, seed);
}

} // namespace jackdawwall::bench
