#include "bench/model.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace jackdawwall::bench {

void Cancellation::cancel()
{
    if (isCancelled)
        return;
    isCancelled = true;
    std::vector<std::function<void()>> pending;
    pending.swap(callbacks);
    for (const auto& callback : pending)
        callback();
}

TargetModel::TargetModel(Simulation& simulation, const ServiceModel& service, std::uint64_t seed)
    : slots(service.slots)
    , simulation_(simulation)
    , service_(service)
    , generator_(seed)
{
}

bool TargetModel::accept(std::shared_ptr<Job> job, std::vector<RootRecord>& roots)
{
    if (running_ + static_cast<int>(queue_.size()) >= service_.connections)
        return false;
    queue_.push_back(std::move(job));
    startNext(roots);
    return true;
}

void TargetModel::startNext(std::vector<RootRecord>& roots)
{
    while (running_ < slots && !queue_.empty()) {
        const std::shared_ptr<Job> job = queue_.front();
        queue_.pop_front();
        if (!job->cancellation->isCancelled)
            run(job, roots);
        else if (const CompletionHandler done = std::exchange(job->done, nullptr))
            done(false);
    }
}

void TargetModel::run(const std::shared_ptr<Job>& job, std::vector<RootRecord>& roots)
{
    ++running_;
    const absl::Time since = simulation_.now();
    std::exponential_distribution<double> draw(1 / absl::ToDoubleSeconds(service_.meanServiceTime));
    const absl::Duration time = absl::Seconds(draw(generator_) * job->workFactor * slowness);
    job->cancellation->callbacks.push_back([this, job, since, &roots] {
        // The modelled targets support cancellation, which frees the slot at once.
        end(job, since, false, roots);
    });
    simulation_.after(time, [this, job, since, &roots] {
        if (!job->done)
            return;
        if (!job->next)
            return end(job, since, true, roots);
        job->next([this, job, since, &roots](bool isOk) { end(job, since, isOk, roots); });
    });
}

void TargetModel::end(
    const std::shared_ptr<Job>& job, absl::Time since, bool isOk, std::vector<RootRecord>& roots)
{
    if (!job->done)
        return;
    const CompletionHandler done = std::exchange(job->done, nullptr);
    const absl::Duration slotTime = simulation_.now() - since;
    roots[job->root].slotTime += slotTime;
    busySeconds += absl::ToDoubleSeconds(slotTime);
    --running_;
    done(isOk);
    startNext(roots);
}

Fleet::Fleet(Simulation& sim, FleetModel fleetModel, Variant variant, std::uint64_t seed)
    : simulation(sim)
    , model(std::move(fleetModel))
    , generator_(seed)
{
    for (const ServiceModel& service : model.services) {
        auto& targets = targets_.emplace_back();
        for (int index = 0; index < service.targets; ++index)
            targets.push_back(std::make_unique<TargetModel>(simulation, service, generator_()));
    }
    dispatcher_ = variant == Variant::Jackdawwall
        ? makeJackdawDispatcher(*this, generator_())
        : makeBaselineDispatcher(*this, variant == Variant::Static, generator_());
}

Fleet::~Fleet() = default;

std::size_t Fleet::drawKind()
{
    std::vector<double> shares;
    for (const KindModel& kind : model.kinds)
        shares.push_back(kind.share);
    return std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(generator_);
}

std::size_t Fleet::nodeIndex(std::size_t service, std::size_t target) const
{
    std::size_t index = target;
    for (std::size_t before = 0; before < service; ++before)
        index += targets_[before].size();
    return index;
}

std::vector<TargetModel*> Fleet::targetsOfService(std::size_t service)
{
    std::vector<TargetModel*> targets;
    for (const auto& target : targets_[service])
        targets.push_back(target.get());
    return targets;
}

double Fleet::busySeconds() const
{
    double sum = 0;
    for (const auto& targets : targets_) {
        for (const auto& target : targets)
            sum += target->busySeconds;
    }
    return sum;
}

void Fleet::generateLoad(absl::Time from, absl::Duration length, double callsPerSecond)
{
    std::exponential_distribution<double> gap(callsPerSecond);
    for (absl::Time time = from + absl::Seconds(gap(generator_)); time < from + length;
         time += absl::Seconds(gap(generator_)))
        simulation.at(time, [this] { sendRootRequest(drawKind()); });
}

void Fleet::generateLoadOfKind(
    std::size_t kind, absl::Time from, absl::Duration length, double callsPerSecond)
{
    std::exponential_distribution<double> gap(callsPerSecond);
    for (absl::Time time = from + absl::Seconds(gap(generator_)); time < from + length;
         time += absl::Seconds(gap(generator_)))
        simulation.at(time, [this, kind] { sendRootRequest(kind); });
}

void Fleet::sendRootRequest(std::size_t kind)
{
    const std::size_t root = roots_.size();
    roots_.emplace_back();
    roots_[root].kind = kind;
    roots_[root].sentAt = simulation.now();
    attemptRootRequest(root, model.clientRetries);
}

void Fleet::attemptRootRequest(std::size_t root, int retriesLeft)
{
    ModelCall call;
    call.root = root;
    call.kind = roots_[root].kind;
    call.requestId = absl::StrCat("r", root);
    call.deadline = simulation.now() + model.deadline;
    call.fromNode = nodeIndex(0, generator_() % targets_[0].size());
    call.cancellation = std::make_shared<Cancellation>();
    ++roots_[root].clientAttempts;
    const int sentCallsBefore = roots_[root].sentCalls;
    roots_[root].sentCalls = 0;
    auto isSettled = std::make_shared<bool>(false);
    const auto settle = [this, root, retriesLeft, sentCallsBefore, isSettled](bool isOk) {
        if (std::exchange(*isSettled, true))
            return;
        RootRecord& record = roots_[root];
        record.sentCalls = std::max(record.sentCalls, sentCallsBefore);
        record.isComplete = isOk;
        record.latency = simulation.now() - record.sentAt;
        const bool isAtMostOnce = !model.kinds[record.kind].isIdempotent;
        if (!isOk && retriesLeft > 0 && !isAtMostOnce)
            simulation.after(model.clientBackoff,
                [this, root, retriesLeft] { attemptRootRequest(root, retriesLeft - 1); });
    };
    simulation.at(call.deadline, [settle] { settle(false); });
    dispatcher_->call(call, settle);
}

} // namespace jackdawwall::bench
