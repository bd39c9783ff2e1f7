// Baselines: three retries at each hop, targets in turn; with or without a fixed limit before each target.
#include "bench/model.h"

namespace jackdawwall::bench {

class PlainReach : public Reach {
public:
    PlainReach(Fleet& fleet, bool hasLimit, std::uint64_t seed)
        : fleet_(fleet)
        , hasLimit_(hasLimit)
        , generator_(seed)
    {
        for (const ServiceModel& service : fleet.model.services) {
            for (int index = 0; index < service.targets; ++index)
                gates_.push_back({ service.slots, 0, {} });
        }
    }

    void call(const ModelCall& call, Done done) override { attempt(call, kRetries, std::move(done)); }

private:
    static constexpr int kRetries = 3;

    /// A fixed limit with a queue in order of arrival.
    struct Gate {
        int limit = 0;
        int running = 0;
        std::deque<std::function<void()>> queue;
    };

    void attempt(const ModelCall& call, int retriesLeft, Done done)
    {
        ++fleet_.roots_[call.root].sends;
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
        // Each hop has the same time-out; nothing tells the next hop about it.
        fleet_.simulation.after(fleet_.model.deadline, [settle] { settle(false); });
        fleet_.simulation.after(
            fleet_.model.networkDelay, [this, call, target, settle] { arrive(call, target, settle); });
    }

    void arrive(const ModelCall& call, std::size_t target, const Done& settle)
    {
        const Done answer = [this, settle](bool isOk) {
            fleet_.simulation.after(fleet_.model.networkDelay, [settle, isOk] { settle(isOk); });
        };
        if (!hasLimit_)
            return run(call, target, answer);
        Gate& gate = gates_[fleet_.nodeIndex(call.service, target)];
        const auto pass = [this, call, target, answer, &gate] {
            ++gate.running;
            run(call, target, [this, answer, &gate](bool isOk) {
                --gate.running;
                answer(isOk);
                openGate(gate);
            });
        };
        const ServiceModel& service = fleet_.model.services[call.service];
        if (static_cast<int>(gate.queue.size()) >= service.connections)
            return answer(false);
        gate.queue.push_back(pass);
        openGate(gate);
    }

    void openGate(Gate& gate)
    {
        while (gate.running < gate.limit && !gate.queue.empty()) {
            const std::function<void()> pass = std::move(gate.queue.front());
            gate.queue.pop_front();
            pass();
        }
    }

    void run(const ModelCall& call, std::size_t target, const Done& answer)
    {
        auto job = std::make_shared<TargetModel::Job>();
        job->root = call.root;
        job->workFactor = fleet_.model.kinds[call.kind].workFactor;
        job->cancellation = std::make_shared<Cancellation>();
        job->done = answer;
        if (call.service + 1 < fleet_.model.services.size())
            job->next = [this, call](const Done& done) {
                ModelCall onward = call;
                ++onward.service;
                attempt(onward, kRetries, done);
            };
        if (call.service == 0)
            ++fleet_.roots_[call.root].executions;
        if (!fleet_.targets_[call.service][target]->accept(job, fleet_.roots_))
            answer(false);
    }

    Fleet& fleet_;
    const bool hasLimit_;
    std::mt19937_64 generator_;
    std::deque<Gate> gates_;
};

std::unique_ptr<Reach> makePlainReach(Fleet& fleet, bool hasLimit, std::uint64_t seed)
{
    return std::make_unique<PlainReach>(fleet, hasLimit, seed);
}

} // namespace jackdawwall::bench
