// Machines are added and removed for good, one batch after the other, as releases do over the months. Then all
// processes are killed and started again. Rule RECOVER: of the requests sent later than recover_s after they
// are back, a quarter or more has to be served.
#include "stand.hpp"

#include <algorithm>
#include <iterator>

namespace {

using namespace stand;

constexpr char kHost[] = "hulo84.example";
/// Machines that are added and removed, and how many of them at once.
constexpr int kRemovedMachines = 3500;
constexpr int kBatch = 30;
constexpr double kRecoverSeconds = 15;
constexpr double kTrafficSeconds = 10;
constexpr double kDownSeconds = 1;

struct Fleet {
    std::vector<std::unique_ptr<Backend>> backends;
    std::vector<std::unique_ptr<Node>> nodes;
};

struct Tally {
    int sent = 0;
    int served = 0;
};

const std::vector<std::string> kServices { "swatch", "dispatch", "survey", "ledger" };

/// Path of the nth request of a machine: it goes to the services of the others in turn.
std::string pathFrom(const Node& node, std::size_t number)
{
    std::vector<std::string> others;
    std::copy_if(kServices.begin(), kServices.end(), std::back_inserter(others),
        [&](const std::string& service) { return service != node.service(); });
    return "/" + others[number % others.size()] + "/a";
}

/// Sends requests from each machine to the services of the others.
Tally serve(const Fleet& fleet, Record& record, const char* phase, double seconds)
{
    Tally tally;
    const double end = now() + seconds;
    while (now() < end) {
        const Node& node = *fleet.nodes[static_cast<std::size_t>(tally.sent) % fleet.nodes.size()];
        const std::string id = std::string(phase) + "-" + std::to_string(tally.sent++);
        const std::size_t round = static_cast<std::size_t>(tally.sent) / fleet.nodes.size();
        const int status = ask(node.callerPort, request("GET", kHost, pathFrom(node, round), id));
        record.line("answer   %s at %s: %d", id.c_str(), node.name().c_str(), status);
        tally.served += status == 200 ? 1 : 0;
        sleepFor(0.1);
    }
    record.line("served   %s: %d of %d", phase, tally.served, tally.sent);
    return tally;
}

/// Starts machines, waits until the store has their records, and removes them without SIGTERM.
bool addAndRemove(const Place& place, Store& store, Backend& backend, int first)
{
    std::vector<std::unique_ptr<Node>> machines;
    for (int index = first; index < first + kBatch; ++index) {
        machines.push_back(std::make_unique<Node>(place, "sidecar-regina-" + std::to_string(index),
            kServices[static_cast<std::size_t>(index) % kServices.size()], backend.port(), store.port()));
        machines.back()->start();
    }
    const double limit = now() + 10;
    for (const auto& machine : machines) {
        while (store.get("jackdaw-nodes", machine->name()).isNull()) {
            if (now() > limit)
                return false;
            sleepFor(0.01);
        }
    }
    return true;
}

int run(const Place& place, Record& record)
{
    Store store;
    std::vector<Route> routes;
    for (const std::string& service : kServices)
        routes.push_back({ "r-" + service, kHost, "/" + service + "/", "safe", { { service, 1 } } });
    store.put("config", "main", configuration(7, routes, kServices));
    Fleet fleet;
    int machine = 0;
    for (const std::string& service : kServices) {
        const std::string number = std::to_string(++machine);
        fleet.backends.push_back(std::make_unique<Backend>(record, service, "i-" + number));
        Backend& backend = *fleet.backends.back();
        fleet.nodes.push_back(
            std::make_unique<Node>(place, "sidecar-regina-" + number, service, backend.port(), store.port()));
        fleet.nodes.back()->start();
        backend.startHeartbeats(fleet.nodes.back()->controlPort);
    }
    std::vector<Node*> nodes;
    for (const auto& node : fleet.nodes)
        nodes.push_back(node.get());
    int probes = 0;
    const bool isServing = awaitServing(nodes, [&] {
        bool isServed = true;
        for (const Node* node : nodes) {
            for (std::size_t round = 0; round + 1 < kServices.size(); ++round) {
                const std::string id = "probe-" + std::to_string(++probes);
                isServed = ask(node->callerPort, request("GET", kHost, pathFrom(*node, round), id)) == 200 && isServed;
            }
        }
        return isServed;
    });
    if (!isServing)
        return kNotRun;
    if (place.hasTrouble) {
        for (int removed = 0; removed < kRemovedMachines; removed += kBatch) {
            if (!addAndRemove(place, store, *fleet.backends.front(), 100 + removed))
                return kNotRun;
        }
        record.line("machines %d were added and removed", kRemovedMachines);
    }
    const Tally before = serve(fleet, record, "before", 3);
    if (before.served * 4 < before.sent)
        return kNotRun;
    record.line("kill     all processes");
    for (Node* node : nodes)
        node->end(SIGKILL);
    sleepFor(kDownSeconds);
    for (Node* node : nodes)
        node->start();
    record.line("start    all processes");
    sleepFor(kRecoverSeconds + 1);
    const Tally after = serve(fleet, record, "after", kTrafficSeconds);
    return after.served * 4 < after.sent ? kBroken : kPassed;
}

} // namespace

int main(int count, char** arguments)
{
    return stand::runCase(count, arguments, run);
}
