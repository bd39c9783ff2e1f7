/// Simulation of nodes that share customers' rate limits, in virtual time: a network with delays, losses and
/// partitions, pauses and restarts of processes, and a failure detector like that of the membership.
#pragma once

#include "jackdawwall/coordinator-choice.h"
#include "jackdawwall/token-lease.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace jackdawwall::test {

inline const absl::Time kStart = absl::FromUnixSeconds(1000);

struct SimulationOptions {
    std::size_t nodes = 84;
    std::uint64_t seed = 1;
    TokenLimit limit;
    double loss = 0; ///< Probability that a message is lost.
    absl::Duration maxDelay = absl::Milliseconds(3);
    std::string customer = "acme";
};

class LeaseSimulation {
public:
    explicit LeaseSimulation(const SimulationOptions& options)
        : options_(options)
        , random_(options.seed)
    {
        for (std::size_t index = 0; index < options.nodes; ++index)
            nodes_.push_back(std::make_unique<Node>());
        for (std::size_t index = 0; index < options.nodes; ++index)
            startProcess(index);
        at(kStart, [this] { detect(); });
    }

    absl::Time now() const { return now_; }
    std::mt19937_64& random() { return random_; }
    double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
    const std::vector<absl::Time>& starts() const { return starts_; }
    std::size_t arrivals() const { return arrivals_; }
    std::size_t overLimit() const { return overLimit_; }
    std::size_t unknown() const { return unknown_; }
    std::size_t messages() const { return messages_; }
    void setLimit(const TokenLimit& limit) { options_.limit = limit; }

    void at(absl::Time time, std::function<void()> action)
    {
        events_.push({ time, eventNumber_++, std::move(action) });
    }

    void runUntil(absl::Time end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
        }
        now_ = end;
    }

    /// Index of the first or the deputy by hash, as seen when all nodes are alive.
    std::size_t coordinator(bool isDeputy = false) const
    {
        const CoordinatorChoice choice = chooseCoordinators(nodes_[0]->membership, options_.customer);
        return indexOf(isDeputy ? choice.deputy : choice.first);
    }

    /// Poisson arrivals at one node until `end`.
    void load(std::size_t node, double callsPerSecond, absl::Time begin, absl::Time end)
    {
        if (callsPerSecond <= 0)
            return;
        const absl::Time next
            = begin + absl::Seconds(std::exponential_distribution<>(callsPerSecond)(random_));
        if (next >= end)
            return;
        at(next, [this, node, callsPerSecond, next, end] {
            arrive(node);
            load(node, callsPerSecond, next, end);
        });
    }

    void pause(std::size_t node, absl::Duration time) { nodes_[node]->pausedUntil = now_ + time; }
    /// Stops the process until the given time and starts a new one.
    void restart(std::size_t node, absl::Duration downTime)
    {
        nodes_[node]->isDown = true;
        ++nodes_[node]->run;
        at(now_ + downTime, [this, node, run = nodes_[node]->run] {
            if (nodes_[node]->run == run)
                startProcess(node);
        });
    }
    /// Nodes reach each other only within the same part.
    void setPart(std::size_t node, int part) { nodes_[node]->part = part; }

private:
    static constexpr absl::Duration kWaitTime = absl::Milliseconds(300);
    static constexpr absl::Duration kReplyTime = absl::Milliseconds(250);
    static constexpr absl::Duration kMinReplyTime = absl::Milliseconds(50);
    static constexpr absl::Duration kTick = absl::Milliseconds(20);
    static constexpr absl::Duration kDetection = absl::Milliseconds(2500);

    struct Event {
        absl::Time time;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    struct Node {
        std::uint64_t run = 0;
        bool isDown = true;
        absl::Time pausedUntil = absl::InfinitePast();
        int part = 0;
        MembershipState membership;
        CoordinatorState coordinator;
        SkippedCoordinators skipped;
        HeldTokens held;
        std::vector<absl::Time> waiting;
        std::vector<std::optional<absl::Time>> missedSince;
    };

    static std::string addressOf(std::size_t index) { return absl::StrCat("10.0.0.", index, ":80"); }
    static Member memberOf(std::size_t index)
    {
        Member member;
        member.peerAddress = addressOf(index);
        return member;
    }
    std::size_t indexOf(const std::string& address) const
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (addressOf(index) == address)
                return index;
        }
        return nodes_.size();
    }

    bool isRunning(std::size_t index) const
    {
        return !nodes_[index]->isDown && nodes_[index]->pausedUntil <= now_;
    }
    bool reaches(std::size_t from, std::size_t to) const { return nodes_[from]->part == nodes_[to]->part; }

    void startProcess(std::size_t index)
    {
        Node& node = *nodes_[index];
        node.isDown = false;
        node.membership = makeMembership(memberOf(index), {}, now_);
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            if (other != index)
                mergeMembers(node.membership, { memberOf(other) }, now_);
        }
        // The simulation begins with nodes that have run for some time.
        node.coordinator = makeCoordinator(random_(), now_ == kStart ? kStart - absl::Minutes(1) : now_);
        tickCoordinator(node.coordinator, {}, now_ - kTick);
        node.skipped.clear();
        node.held = {};
        node.waiting.clear();
        node.missedSince.assign(nodes_.size(), std::nullopt);
        tick(index, node.run);
    }

    NodeCondition conditionOf(const Node& node) const
    {
        const Member& self = node.membership.members.at(node.membership.self).member;
        return { self.incarnation, isCutOff(node.membership, now_) };
    }

    void tick(std::size_t index, std::uint64_t run)
    {
        Node& node = *nodes_[index];
        if (node.run != run || node.isDown)
            return;
        if (node.pausedUntil > now_) {
            at(node.pausedUntil + absl::Milliseconds(5), [this, index, run] { tick(index, run); });
            return;
        }
        tickCoordinator(node.coordinator, conditionOf(node), now_);
        at(now_ + kTick, [this, index, run] { tick(index, run); });
    }

    void setStatus(std::size_t viewer, std::size_t subject, MemberStatus status)
    {
        MembershipState& membership = nodes_[viewer]->membership;
        MemberRecord& record = membership.members[addressOf(subject)];
        if (record.member.status == status)
            return;
        record.member.status = status;
        record.statusSince = now_;
        ++membership.lastChange;
    }

    /// Failure detector: runs each 100 ms with some random delay for each pair.
    void detect()
    {
        for (std::size_t viewer = 0; viewer < nodes_.size(); ++viewer) {
            if (!isRunning(viewer))
                continue;
            Node& node = *nodes_[viewer];
            for (std::size_t other = 0; other < nodes_.size(); ++other) {
                if (other != viewer)
                    observe(node, viewer, other);
            }
        }
        at(now_ + absl::Milliseconds(100), [this] { detect(); });
    }

    void observe(Node& node, std::size_t viewer, std::size_t other)
    {
        std::optional<absl::Time>& missed = node.missedSince[other];
        if (reaches(viewer, other) && isRunning(other)) {
            node.membership.lastContactAt = now_;
            missed.reset();
            const bool wasMissed
                = node.membership.members[addressOf(other)].member.status != MemberStatus::Alive;
            if (!wasMissed || uniform() < 0.6)
                return;
            setStatus(viewer, other, MemberStatus::Alive);
            // The other node refutes its failure.
            Member& self = nodes_[other]->membership.members.at(addressOf(other)).member;
            ++self.incarnation;
            return;
        }
        if (!missed)
            missed = now_ + kDetection * (0.6 + 0.8 * uniform());
        if (now_ >= *missed + absl::Seconds(2) && nodes_[other]->isDown)
            setStatus(viewer, other, MemberStatus::Dead);
        else if (now_ >= *missed
            && node.membership.members[addressOf(other)].member.status == MemberStatus::Alive)
            setStatus(viewer, other, MemberStatus::Suspect);
    }

    /// Calls `action` when the process runs; drops it if the process ends before.
    void deliver(std::size_t index, std::uint64_t run, const std::function<void()>& action)
    {
        const Node& node = *nodes_[index];
        if (node.isDown || node.run != run)
            return;
        if (node.pausedUntil > now_)
            at(node.pausedUntil, [this, index, run, action] { deliver(index, run, action); });
        else
            action();
    }

    void send(std::size_t from, std::size_t to, const std::function<void()>& action)
    {
        ++messages_;
        if (nodes_[to]->isDown || uniform() < options_.loss)
            return;
        const absl::Time arrival = now_ + options_.maxDelay * uniform();
        at(arrival, [this, from, to, run = nodes_[to]->run, action] {
            if (reaches(from, to))
                deliver(to, run, action);
        });
    }

    void arrive(std::size_t index)
    {
        ++arrivals_;
        deliver(index, nodes_[index]->run, [this, index] {
            Node& node = *nodes_[index];
            const AcquireDecision decision = acquireToken(node.held, now_);
            if (decision.result == AcquireResult::Waiting)
                node.waiting.push_back(now_);
            else
                count(decision.result);
            if (decision.needsRequest)
                request(index, std::nullopt, 0);
        });
    }

    void count(AcquireResult result)
    {
        if (result == AcquireResult::Taken)
            starts_.push_back(now_);
        else
            ++(result == AcquireResult::OverLimit ? overLimit_ : unknown_);
    }

    /// Sends a lease request to the first, the deputy, or the node that another one named.
    void request(std::size_t index, std::optional<std::string> named, int attempt)
    {
        Node& node = *nodes_[index];
        LeaseTarget target { named.value_or(""), false };
        if (!named)
            target = chooseLeaseTarget(
                chooseCoordinators(node.membership, options_.customer), node.skipped, now_);
        LeaseRequest lease = startLeaseRequest(node.held, now_);
        if (target.address.empty() || attempt > 3) {
            decide(index, failLeaseRequest(node.held, lease.number, now_));
            return;
        }
        lease.holder = addressOf(index);
        lease.run = node.run;
        lease.isDeputyRequest = target.isDeputy;
        const std::size_t to = indexOf(target.address);
        if (to == index) {
            onReply(index, lease.number, answer(index, lease), attempt);
            return;
        }
        absl::Duration timeout = kReplyTime;
        if (!node.waiting.empty())
            timeout = std::max(kMinReplyTime, std::min(timeout, node.waiting.front() + kWaitTime - now_));
        at(now_ + timeout, [this, index, run = node.run, number = lease.number, target, attempt] {
            deliver(index, run, [=, this] { onTimeout(index, number, target.address, attempt); });
        });
        send(index, to, [this, index, run = node.run, to, lease, attempt] {
            const LeaseReply reply = answer(to, lease);
            send(to, index, [this, index, run, number = lease.number, reply, attempt] {
                if (nodes_[index]->run == run)
                    onReply(index, number, reply, attempt);
            });
        });
    }

    LeaseReply answer(std::size_t index, const LeaseRequest& lease)
    {
        Node& node = *nodes_[index];
        tickCoordinator(node.coordinator, conditionOf(node), now_);
        const CoordinatorStanding standing
            = standingFor(node.membership, options_.customer, lease.isDeputyRequest, now_);
        return grantTokens(node.coordinator, options_.customer, options_.limit, standing, lease, now_);
    }

    void onTimeout(std::size_t index, std::uint64_t number, const std::string& address, int attempt)
    {
        HeldTokens& held = nodes_[index]->held;
        if (!held.isRequestPending || held.request != number)
            return;
        skipCoordinator(nodes_[index]->skipped, address, now_);
        cancelLeaseRequest(held, number);
        request(index, std::nullopt, attempt + 1);
    }

    void onReply(std::size_t index, std::uint64_t number, const LeaseReply& reply, int attempt)
    {
        HeldTokens& held = nodes_[index]->held;
        if (!held.isRequestPending || held.request != number)
            return;
        if (reply.status == LeaseStatus::NotResponsible && attempt == 0) {
            cancelLeaseRequest(held, number);
            request(index, reply.responsible, attempt + 1);
            return;
        }
        decide(index, applyLeaseReply(held, number, reply, now_));
    }

    void decide(std::size_t index, const WaitersDecision& decision)
    {
        Node& node = *nodes_[index];
        for (std::uint32_t taken = 0; taken < decision.taken; ++taken)
            count(AcquireResult::Taken);
        for (std::uint32_t refused = 0; refused < decision.refused; ++refused)
            count(decision.refusal.result);
        node.waiting.erase(node.waiting.begin(),
            node.waiting.begin() + static_cast<std::ptrdiff_t>(decision.taken + decision.refused));
        if (decision.needsRequest)
            request(index, std::nullopt, 0);
    }

    SimulationOptions options_;
    std::mt19937_64 random_;
    absl::Time now_ = kStart;
    std::priority_queue<Event> events_;
    std::uint64_t eventNumber_ = 0;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<absl::Time> starts_;
    std::size_t arrivals_ = 0;
    std::size_t overLimit_ = 0;
    std::size_t unknown_ = 0;
    std::size_t messages_ = 0;
};

inline constexpr double kWindowSeconds = 5;

/// Most starts in any window.
inline std::size_t mostInWindow(const std::vector<absl::Time>& starts)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < starts.size(); ++last) {
        while (starts[last] - starts[first] >= absl::Seconds(kWindowSeconds))
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Largest number of starts that the requirement permits in a window.
inline double permittedInWindow(const TokenLimit& limit)
{
    return (limit.callsPerSecond * kWindowSeconds + limit.burst) * 1.1 + 20;
}

} // namespace jackdawwall::test
