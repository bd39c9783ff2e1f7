// Machines are added and removed for good, one batch after the other, as releases do over the life of an
// installation. Then the nodes of the machines that stay are killed and started again.
#include "stand.hpp"

using namespace stand;

namespace {

/// Machines that are added and removed, and how many of them at a time.
constexpr int kRemovedMachines = 6000;
constexpr int kBatch = 25;
constexpr double kDownSeconds = 1;
constexpr double kRecoverSeconds = 15;
const std::vector<std::string> kServices { "swatch", "dispatch", "survey", "ledger" };

struct Tally {
    int sent = 0;
    int served = 0;
};

/// Sends requests from each machine to the services of the others.
Tally serve(const Fleet& fleet, Record& record, const std::string& when, double seconds)
{
    Tally tally;
    const double end = secondsSinceStart() + seconds;
    while (secondsSinceStart() < end) {
        const std::size_t number = static_cast<std::size_t>(tally.sent);
        const std::size_t from = number % fleet.machines.size();
        const std::size_t to = (from + 1 + number / fleet.machines.size() % (kServices.size() - 1)) % kServices.size();
        const Machine& machine = *fleet.machines[from];
        const std::string id = when + "-" + std::to_string(tally.sent++);
        const auto reply = exchange(machine.outbound(), requestHead("GET", "/" + kServices[to] + "/5", id), 1);
        const int status = reply.empty() ? 0 : reply[0].status();
        record.line("answer " + id + " from " + machine.name + " to " + kServices[to] + ": " + std::to_string(status));
        tally.served += status == 200 ? 1 : 0;
        sleepSeconds(0.1);
    }
    record.line(when + ": " + std::to_string(tally.served) + " of " + std::to_string(tally.sent) + " served");
    return tally;
}

/// Adds a batch of machines with addresses of their own, waits until the store has their nodes' records, and
/// removes them without SIGTERM.
bool addAndRemove(Fleet& fleet, const std::string& net, int first)
{
    std::vector<std::unique_ptr<Machine>> machines;
    for (int index = first; index < first + kBatch; ++index) {
        auto machine = std::make_unique<Machine>();
        machine->name = "removed-" + std::to_string(index);
        machine->service = kServices[static_cast<std::size_t>(index) % kServices.size()];
        machine->ip = net + std::to_string(index / 200) + "." + std::to_string(1 + index % 200);
        fleet.startNode(*machine);
        machines.push_back(std::move(machine));
    }
    const double end = secondsSinceStart() + 10;
    bool areRegistered = true;
    for (const auto& machine : machines) {
        while (!fleet.store.has("jackdaw-nodes", machine->name) && secondsSinceStart() < end)
            sleepSeconds(0.005);
        areRegistered = areRegistered && fleet.store.has("jackdaw-nodes", machine->name);
    }
    for (const auto& machine : machines)
        fleet.remove(*machine);
    return areRegistered;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    Record record(argv[2]);
    Fleet fleet(argv[1], record);
    std::vector<RouteSpec> routes;
    std::vector<std::unique_ptr<Backend>> backends;
    bool areStarted = fleet.startStore();
    for (const std::string& service : kServices) {
        routes.push_back({ "r-" + service, "/" + service + "/", "safe", service });
        backends.push_back(std::make_unique<Backend>());
        areStarted = areStarted && backends.back()->start(fleet.add("stays-" + service, service), record);
    }
    if (!areStarted)
        finish(fleet, record, 2, "could not run: an address is in use");
    fleet.store.put("config", "main", configuration(7, routes));
    for (const auto& machine : fleet.machines) {
        fleet.startNode(*machine);
        fleet.startCheckIns(*machine);
    }
    if (!fleet.waitReady(15))
        finish(fleet, record, 2, "could not run: the nodes did not become ready");
    sleepSeconds(4); // Longer than stable_window_ms: all machines are in touch.
    if (hasTrouble()) {
        // Outside of the range from which fleets take their addresses.
        const std::string net = "127." + std::to_string(2 + std::random_device {}() % 18) + ".";
        for (int removed = 0; removed < kRemovedMachines; removed += kBatch) {
            if (!addAndRemove(fleet, net, removed))
                finish(fleet, record, 2, "could not run: a machine that was added did not register");
        }
        record.line("fault  " + std::to_string(kRemovedMachines) + " machines were added and removed for good");
    }
    const Tally before = serve(fleet, record, "before", 3);
    if (before.served * 4 < before.sent)
        finish(fleet, record, 2, "could not run: requests before the kill were not served");
    fleet.killAll();
    sleepSeconds(kDownSeconds);
    for (const auto& machine : fleet.machines)
        fleet.startNode(*machine);
    sleepSeconds(kRecoverSeconds + 1);
    const Tally after = serve(fleet, record, "after", 10);
    finish(fleet, record, after.served * 4 < after.sent ? 1 : 0,
        std::to_string(after.served) + " of " + std::to_string(after.sent)
            + " requests were served that were sent 16 to 26 s after the nodes were started again, "
            + std::to_string(before.served) + " of " + std::to_string(before.sent) + " before the kill");
}
