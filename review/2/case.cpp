// A backend that has said that it leaves gets new work again after an incomplete check-in of another writer.
#include "fleet.hpp"

#include <cstdio>

using namespace review;

namespace {

constexpr std::int64_t kDrainMs = 2000; // drain_ms of the site
constexpr std::int64_t kServesOnMs = 9000; // How long the backend serves after the acknowledgement.
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

int run(const std::string& root)
{
    openRecord(environment("RECORD", root + "/review/2/record.txt"));
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

    // Clients book at 20 a second on the machines of the other service.
    std::atomic<bool> isDone { false };
    std::vector<std::thread> clients;
    std::thread traffic([&] {
        for (int number = 0; !isDone; ++number) {
            Machine& machine = *fleet.machines()[static_cast<std::size_t>(3 + number % 3)];
            clients.emplace_back([&machine, number] { book(machine, "book-" + std::to_string(number)); });
            sleepMs(50);
        }
    });
    sleepMs(3000);
    Backend& leaving = *fleet.machines()[0]->backend;
    leaving.drain();
    const std::int64_t acknowledgedAt = leaving.leaveAcknowledgedAt();
    sleepMs(800);
    if (hasTrouble()) {
        // A check-in of another writer: version, capacity, zone, address and born are missing.
        const std::string body = "{\"service\":\"dispatch\",\"state\":\"ready\",\"sequence\":3}";
        const auto answer = exchange(fleet.machines()[0]->control(),
            requestBytes("POST", "/jackdawwall/rpc?call=instances.heartbeat&of=" + leaving.options().id,
                { { "Host", "x" }, { "Content-Type", "application/json" } }, body),
            1000);
        record("another writer: check-in without born: " + body + " -> "
            + std::to_string(answer ? answer->status() : 0));
    }
    sleepMs(acknowledgedAt + kServesOnMs - nowMs());
    std::thread leave([&] { leaving.sendLeave(); });
    leave.join();
    leaving.exit();
    sleepMs(2000);
    isDone = true;
    traffic.join();
    for (std::thread& client : clients)
        client.join();

    int late = 0;
    int cutOff = 0;
    for (const Arrival& arrival : leaving.arrivals()) {
        late += arrival.hasRun && arrival.at > acknowledgedAt + kDrainMs ? 1 : 0;
        if (!arrival.isCutOff)
            continue;
        ++cutOff;
        record("cut off when the backend ended: " + arrival.attempt);
    }
    int lost = 0;
    std::size_t served = 0;
    for (const Attempt& attempt : results) {
        served += attempt.isComplete ? 1 : 0;
        lost += attempt.status == 502 || attempt.status == 504 || attempt.status == 0 ? 1 : 0;
    }
    char line[300];
    std::snprintf(line, sizeof line,
        "bookings sent %zu, served %zu, without a result (502, 504 or no answer) %d; requests that reached "
        "the "
        "leaving backend later than %d ms after the acknowledgement: %d, of them cut off at its end: %d",
        results.size(), served, lost, static_cast<int>(kDrainMs), late, cutOff);
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
