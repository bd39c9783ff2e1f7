// A leave that was acknowledged is forgotten when the nodes restart for the second time; a check-in of before
// the leave that arrives late then brings the backend back into use.
#include "fleet.hpp"

#include <csignal>
#include <cstdio>

using namespace review;

namespace {

constexpr std::int64_t kDrainMs = 2000; // drain_ms of the site
constexpr std::int64_t kInTouchMs = 3000; // stable_window_ms of the site
constexpr std::int64_t kServesOnMs = 14'000; // How long the backend serves after the acknowledgement.
constexpr std::int64_t kLateMs = 5000; // How late the last check-in of before the leave arrives.
constexpr int kDeadlineMs = 5000;

std::mutex resultMutex;
std::vector<Attempt> results;

void book(const Machine& machine, const std::string& id)
{
    const Attempt attempt
        = sendRequest(machine, "POST", "/puka111/2f", id, kDeadlineMs, std::string(2000, 'b'));
    const std::lock_guard lock(resultMutex);
    results.push_back(attempt);
}

/// Kills all nodes at the same moment; the platform starts them again after a short delay.
void killAndRestart(Fleet& fleet)
{
    for (const auto& machine : fleet.machines())
        fleet.signalNode(*machine, SIGKILL);
    sleepMs(500);
    for (const auto& machine : fleet.machines())
        fleet.startNode(*machine);
}

int run(const std::string& root)
{
    openRecord(environment("RECORD", root + "/review/3/record.txt"));
    const TemporaryFolder folder;
    FleetOptions options;
    options.root = root;
    options.folder = folder.path();
    options.services = { "dispatch", "dispatch", "dispatch", "swatch", "swatch", "swatch" };
    options.adjustBackend = [](BackendOptions& backend) { backend.workMs = 250; };
    Fleet fleet(options);
    fleet.putConfiguration(7, { { "r-book", "/puka111/", "unsafe", "dispatch", 5000, 2000, 0, 2 } });
    if (!fleet.start())
        return 2;

    std::atomic<bool> isDone { false };
    std::vector<std::thread> clients;
    std::vector<Machine*> front;
    for (const auto& machine : fleet.machines()) {
        if (machine->service == "swatch")
            front.push_back(machine.get());
    }
    std::thread traffic([&] {
        for (int number = 0; !isDone; ++number) {
            Machine& machine = *front[static_cast<std::size_t>(number) % front.size()];
            if (machine.isIn)
                clients.emplace_back([&machine, number] { book(machine, "book-" + std::to_string(number)); });
            sleepMs(50);
        }
    });
    sleepMs(3000);
    Machine& machine = *fleet.machines()[0];
    Backend& leaving = *machine.backend;
    leaving.stopHeartbeats();
    const std::string lateBody = leaving.heartbeatBody();
    const std::int64_t lateSentAt = nowMs();
    record("backend " + leaving.options().id + " sends a check-in that is delayed: " + lateBody);
    leaving.sendLeave();
    const std::int64_t acknowledgedAt = leaving.leaveAcknowledgedAt();
    sleepMs(500);
    if (hasTrouble()) {
        killAndRestart(fleet);
        sleepMs(1500);
        killAndRestart(fleet);
    }
    const std::int64_t inTouchAt = nowMs() + kInTouchMs;
    sleepMs(lateSentAt + kLateMs - nowMs());
    const auto answer = exchange(machine.control(),
        requestBytes("POST", "/jackdawwall/rpc?call=instances.heartbeat&of=" + leaving.options().id,
            { { "Host", "x" }, { "Content-Type", "application/json" } }, lateBody),
        1000, { machine.ip });
    record("the delayed check-in arrives -> " + std::to_string(answer ? answer->status() : 0));
    sleepMs(acknowledgedAt + kServesOnMs - nowMs());
    leaving.exit();
    sleepMs(2000);
    isDone = true;
    traffic.join();
    for (std::thread& client : clients)
        client.join();

    int late = 0;
    int cutOff = 0;
    for (const Arrival& arrival : leaving.arrivals()) {
        late += arrival.hasRun && arrival.at > std::max(acknowledgedAt + kDrainMs, inTouchAt) ? 1 : 0;
        if (!arrival.isCutOff)
            continue;
        ++cutOff;
        record("cut off when the backend ended: " + arrival.attempt);
    }
    std::size_t served = 0;
    for (const Attempt& attempt : results)
        served += attempt.isComplete ? 1 : 0;
    char line[300];
    std::snprintf(line, sizeof line,
        "bookings sent %zu, served %zu; requests that machines in touch sent to the backend that had left, "
        "later "
        "than %d ms after the acknowledgement: %d, of them cut off at its end: %d",
        results.size(), served, static_cast<int>(kDrainMs), late, cutOff);
    record(line);
    std::puts(line);
    if (served < 50)
        return 2;
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int, char** arguments)
{
    try {
        return run(arguments[1]);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
