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
    pending.swap(hooks);
    for (const auto& hook : pending)
        hook();
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
        else if (const Done done = std::exchange(job->done, nullptr))
            done(false);
    }
}

void TargetModel::run(const std::shared_ptr<Job>& job, std::vector<RootRecord>& roots)
{
    ++running_;
    const absl::Time since = simulation_.now();
    std::exponential_distribution<double> draw(1 / absl::ToDoubleSeconds(service_.work));
    const absl::Duration time = absl::Seconds(draw(generator_) * job->workFactor * slowness);
    job->cancellation->hooks.push_back([this, job, since, &roots] {
        // The target accepts cancellation: its slot is free at once.
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
    const Done done = std::exchange(job->done, nullptr);
    const absl::Duration held = simulation_.now() - since;
    roots[job->root].slotTime += held;
    busySeconds += absl::ToDoubleSeconds(held);
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
    reach_ = variant == Variant::Jackdawwall
        ? makeJackdawReach(*this, generator_())
        : makePlainReach(*this, variant == Variant::Static, generator_());
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

std::vector<TargetModel*> Fleet::targetsOf(std::size_t service)
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

void Fleet::demand(absl::Time from, absl::Duration length, double callsPerSecond)
{
    std::exponential_distribution<double> gap(callsPerSecond);
    for (absl::Time time = from + absl::Seconds(gap(generator_)); time < from + length;
         time += absl::Seconds(gap(generator_)))
        simulation.at(time, [this] { sendRoot(drawKind()); });
}

void Fleet::demandOf(std::size_t kind, absl::Time from, absl::Duration length, double callsPerSecond)
{
    std::exponential_distribution<double> gap(callsPerSecond);
    for (absl::Time time = from + absl::Seconds(gap(generator_)); time < from + length;
         time += absl::Seconds(gap(generator_)))
        simulation.at(time, [this, kind] { sendRoot(kind); });
}

void Fleet::sendRoot(std::size_t kind)
{
    const std::size_t root = roots_.size();
    roots_.emplace_back();
    roots_[root].kind = kind;
    roots_[root].sent = simulation.now();
    tryRoot(root, model.clientRetries);
}

void Fleet::tryRoot(std::size_t root, int triesLeft)
{
    ModelCall call;
    call.root = root;
    call.kind = roots_[root].kind;
    call.requestId = absl::StrCat("r", root);
    call.deadline = simulation.now() + model.deadline;
    call.fromNode = nodeIndex(0, generator_() % targets_[0].size());
    call.cancellation = std::make_shared<Cancellation>();
    ++roots_[root].clientTries;
    const int sendsBefore = roots_[root].sends;
    roots_[root].sends = 0;
    auto isSettled = std::make_shared<bool>(false);
    const auto settle = [this, root, triesLeft, sendsBefore, isSettled](bool isOk) {
        if (std::exchange(*isSettled, true))
            return;
        RootRecord& record = roots_[root];
        record.sends = std::max(record.sends, sendsBefore);
        record.isWhole = isOk;
        record.latency = simulation.now() - record.sent;
        const bool isOnce = !model.kinds[record.kind].isIdempotent;
        if (!isOk && triesLeft > 0 && !isOnce)
            simulation.after(model.clientBackoff, [this, root, triesLeft] { tryRoot(root, triesLeft - 1); });
    };
    simulation.at(call.deadline, [settle] { settle(false); });
    reach_->call(call, settle);
}

} // namespace jackdawwall::bench
