// Baselines: three retries at each hop to targets chosen at random, with or without a fixed concurrency limit
// before each target.
#include "bench/model.h"

namespace jackdawwall::bench {

class BaselineDispatcher : public CallDispatcher {
public:
    BaselineDispatcher(Fleet& fleet, bool hasLimit, std::uint64_t seed)
        : fleet_(fleet)
        , hasLimit_(hasLimit)
        , generator_(seed)
    {
        for (const ServiceModel& service : fleet.model.services) {
            for (int index = 0; index < service.targets; ++index)
                limiters_.push_back({ service.slots, 0, {} });
        }
    }

    void call(const ModelCall& call, CompletionHandler done) override
    {
        attempt(call, kRetries, std::move(done));
    }

private:
    static constexpr int kRetries = 3;

    /// A fixed concurrency limit with a FIFO queue.
    struct FixedLimiter {
        int limit = 0;
        int running = 0;
        std::deque<std::function<void()>> queue;
    };

    void attempt(const ModelCall& call, int retriesLeft, CompletionHandler done)
    {
        ++fleet_.roots_[call.root].sentCalls;
        const std::size_t target = generator_() % fleet_.targets_[call.service].size();
        auto isSettled = std::make_shared<bool>(false);
        const auto settle = [this, call, retriesLeft, done = std::move(done), isSettled](bool isOk) {
            if (std::exchange(*isSettled, true))
                return;
            if (isOk || retriesLeft == 0)
                done(isOk);
            else
                attempt(call, retriesLeft - 1, done);
        };
        // Every hop uses the same timeout; deadlines are not propagated.
        fleet_.simulation.after(fleet_.model.deadline, [settle] { settle(false); });
        fleet_.simulation.after(
            fleet_.model.networkDelay, [this, call, target, settle] { arrive(call, target, settle); });
    }

    void arrive(const ModelCall& call, std::size_t target, const CompletionHandler& settle)
    {
        const CompletionHandler respond = [this, settle](bool isOk) {
            fleet_.simulation.after(fleet_.model.networkDelay, [settle, isOk] { settle(isOk); });
        };
        if (!hasLimit_)
            return run(call, target, respond);
        FixedLimiter& limiter = limiters_[fleet_.nodeIndex(call.service, target)];
        const auto start = [this, call, target, respond, &limiter] {
            ++limiter.running;
            run(call, target, [this, respond, &limiter](bool isOk) {
                --limiter.running;
                respond(isOk);
                startQueued(limiter);
            });
        };
        const ServiceModel& service = fleet_.model.services[call.service];
        if (static_cast<int>(limiter.queue.size()) >= service.connections)
            return respond(false);
        limiter.queue.push_back(start);
        startQueued(limiter);
    }

    void startQueued(FixedLimiter& limiter)
    {
        while (limiter.running < limiter.limit && !limiter.queue.empty()) {
            const std::function<void()> start = std::move(limiter.queue.front());
            limiter.queue.pop_front();
            start();
        }
    }

    void run(const ModelCall& call, std::size_t target, const CompletionHandler& respond)
    {
        auto job = std::make_shared<TargetModel::Job>();
        job->root = call.root;
        job->workFactor = fleet_.model.kinds[call.kind].workFactor;
        job->cancellation = std::make_shared<Cancellation>();
        job->done = respond;
        if (call.service + 1 < fleet_.model.services.size())
            job->next = [this, call](const CompletionHandler& done) {
                ModelCall downstreamCall = call;
                ++downstreamCall.service;
                attempt(downstreamCall, kRetries, done);
            };
        if (call.service == 0)
            ++fleet_.roots_[call.root].executions;
        if (!fleet_.targets_[call.service][target]->accept(job, fleet_.roots_))
            respond(false);
    }

    Fleet& fleet_;
    const bool hasLimit_;
    std::mt19937_64 generator_;
    std::deque<FixedLimiter> limiters_;
};

std::unique_ptr<CallDispatcher> makeBaselineDispatcher(Fleet& fleet, bool hasLimit, std::uint64_t seed)
{
    return std::make_unique<BaselineDispatcher>(fleet, hasLimit, seed);
}

} // namespace jackdawwall::bench
