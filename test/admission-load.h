/// Plays a load of customers against the admission of one target, in virtual time: no network, threads or
/// clocks, and a fixed seed. The target has a fixed number of slots; service times do not depend on its load.
#pragma once

#include "jackdawwall/call-flow.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace jackdawwall::test {

struct LoadCustomer {
    std::string name;
    double callsPerSecond = 0;
    double callSeconds = 0.01; ///< Mean; single calls take 0.5 to 1.5 times as long.
    Priority priority = Priority::Browse;
    std::uint32_t weight = 1;
    std::string kind {}; ///< Work kind; empty: one for each mean.
    int retries = 0; ///< Times that a refused call is offered again, 1 ms after each refusal.
};

struct Load {
    std::vector<LoadCustomer> customers;
    int slots = 12;
    double seconds = 20; ///< Calls that arrive in the first tenth are not counted.
    double timeout = 1; ///< Seconds from the first offer to the deadline.
    std::uint64_t seed = 1;
};

/// Work is measured in seconds of service time.
struct CustomerResult {
    double offeredWork = 0; ///< Without retries.
    double servedWork = 0;
    int offered = 0;
    int served = 0;
};

struct LoadResult {
    std::vector<CustomerResult> customers;
    std::uint64_t digest = 0; ///< Of all decisions in their order.
    int late = 0; ///< Calls that were started and ended after their deadline.
    int offers = 0; ///< With retries.
    std::size_t maximumWaiting = 0;
    AdmissionState state; ///< At the end of the load.
};

/// What the calls of a load carry.
enum class CallForm : std::uint8_t {
    Customer, ///< The name as customer.
    Service, ///< The name as calling service.
    Plain, ///< As Service, but the offered call is made here, from the fields that predate customers.
};

class LoadRun {
public:
    LoadRun(const Load& load, CallForm form)
        : load_(load)
        , form_(form)
    {
        AdmissionOptions options;
        options.limit.initial = load.slots;
        options.limit.maximum = load.slots;
        options.limit.minimum = std::max(2.0, load.slots / 2.0);
        result_.state = makeAdmissionState(options);
        result_.customers.resize(load.customers.size());
        generateCalls();
    }

    LoadResult run()
    {
        for (int tick = 0; tick * 0.01 < load_.seconds + 2; ++tick)
            push(tick * 0.01, EventType::Tick, 0);
        while (!events_.empty()) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.seconds;
            handle(event);
            result_.maximumWaiting = std::max(result_.maximumWaiting, result_.state.waiting.size());
        }
        return std::move(result_);
    }

private:
    struct Call {
        std::size_t customer = 0;
        double arrival = 0;
        double seconds = 0;
        int retriesLeft = 0;
    };
    enum class EventType : std::uint8_t { Offer, End, Tick };
    struct Event {
        double seconds = 0;
        std::uint64_t order = 0;
        EventType type = EventType::Tick;
        CallId id = 0;

        bool operator<(const Event& other) const
        {
            return std::tie(other.seconds, other.order) < std::tie(seconds, order);
        }
    };

    void generateCalls()
    {
        calls_.emplace_back(); // Ids start at 1.
        std::mt19937_64 generator(load_.seed);
        const auto uniform = [&] { return static_cast<double>(generator() >> 11U) / 9007199254740992.0; };
        for (std::size_t index = 0; index < load_.customers.size(); ++index) {
            const LoadCustomer& customer = load_.customers[index];
            double at = 0;
            while ((at -= std::log(1 - uniform()) / customer.callsPerSecond) < load_.seconds) {
                const Call call { index, at, customer.callSeconds * (0.5 + uniform()), customer.retries };
                push(at, EventType::Offer, calls_.size());
                calls_.push_back(call);
                if (!isCounted(call))
                    continue;
                ++result_.customers[index].offered;
                result_.customers[index].offeredWork += call.seconds;
            }
        }
    }

    bool isCounted(const Call& call) const { return call.arrival >= load_.seconds / 10; }
    absl::Time time() const { return absl::FromUnixSeconds(1000) + absl::Seconds(now_); }

    void push(double seconds, EventType type, CallId id)
    {
        events_.push({ seconds, ++lastOrder_, type, id });
    }

    void handle(const Event& event)
    {
        switch (event.type) {
        case EventType::Offer:
            return offer(event.id);
        case EventType::End:
            return apply(finishCall(result_.state, event.id, RunResult::Completed, {}, time()));
        case EventType::Tick:
            return apply(advanceTime(result_.state, time()));
        }
    }

    void offer(CallId id)
    {
        const Call& call = calls_[id];
        const LoadCustomer& customer = load_.customers[call.customer];
        CallContext context;
        (form_ == CallForm::Customer ? context.customer : context.caller) = customer.name;
        context.kind = customer.kind.empty() ? absl::StrCat("kind-", customer.callSeconds) : customer.kind;
        context.priority = customer.priority;
        context.weight = customer.weight;
        context.deadline
            = absl::FromUnixSeconds(1000) + absl::Seconds(call.arrival) + absl::Seconds(load_.timeout);
        ++result_.offers;
        const Decision decision = offerCall(result_.state, makeOffer(context, id), time());
        digest(id, static_cast<std::uint64_t>(decision.verdict) + 1);
        if (decision.verdict == Verdict::Start)
            start(id);
        else if (decision.verdict == Verdict::Refuse)
            refuse(id);
        apply({ {}, decision.refused });
    }

    OfferedCall makeOffer(const CallContext& context, CallId id) const
    {
        if (form_ != CallForm::Plain)
            return makeOfferedCall(context, id, 0);
        OfferedCall offer;
        offer.id = id;
        offer.priority = context.priority;
        offer.caller = stableHash(context.caller);
        offer.weight = context.weight;
        offer.cost = costKey(context.kind, 0);
        offer.deadline = context.deadline;
        return offer;
    }

    void start(CallId id)
    {
        const Call& call = calls_[id];
        const double end = now_ + call.seconds;
        push(end, EventType::End, id);
        if (end > call.arrival + load_.timeout) {
            ++result_.late;
            return;
        }
        if (!isCounted(call))
            return;
        ++result_.customers[call.customer].served;
        result_.customers[call.customer].servedWork += call.seconds;
    }

    void refuse(CallId id)
    {
        if (calls_[id].retriesLeft-- > 0)
            push(now_ + 0.001, EventType::Offer, id);
    }

    void apply(QueueUpdate update)
    {
        // The order among calls that expire at the same time is that of a hash table.
        std::sort(update.refused.begin(), update.refused.end(),
            [](const RefusedCall& left, const RefusedCall& right) { return left.id < right.id; });
        for (const RefusedCall& refused : update.refused) {
            digest(refused.id, static_cast<std::uint64_t>(refused.reason) + 10);
            refuse(refused.id);
        }
        for (const CallId id : update.started) {
            digest(id, 4);
            start(id);
        }
    }

    void digest(CallId id, std::uint64_t decision)
    {
        result_.digest = mixBits(result_.digest ^ mixBits(id * 64 + decision));
    }

    Load load_;
    CallForm form_;
    LoadResult result_;
    std::vector<Call> calls_;
    std::priority_queue<Event> events_;
    std::uint64_t lastOrder_ = 0;
    double now_ = 0;
};

inline LoadResult playLoad(const Load& load, CallForm form)
{
    return LoadRun(load, form).run();
}

} // namespace jackdawwall::test
