// An answer without end from a backend in trouble fills the memory of the node beside it beyond its limit.
#include "fleet.hpp"

#include <csignal>
#include <cstdio>

using namespace review;

namespace {

constexpr int kDeadlineMs = 6000; // Time limit of ramp-history
constexpr int kMemoryMb = 260; // memory_mb of the machines
constexpr int kClientsPerMachine = 6;
constexpr int kClientIntervalMs = 195; // 185 requests a second in all, 46 for each backend
constexpr int kEpisodes = 4;
constexpr int kEpisodeMs = 5000; // for_s
constexpr int kEpisodeEveryMs = 15'000;
constexpr double kShare = 0.02; // x
constexpr double kMegabytesPerSecond = 100; // Of one endless answer; the links have 125
constexpr std::size_t kChunk = 64U << 10;

std::mutex resultMutex;
int sent = 0;
int served = 0;
int closedWithoutAnswer = 0;
std::vector<std::pair<std::string, std::int64_t>> closedAttempts;

/// A client that sends one request after the other on a kept connection.
void runClient(const Machine& machine, int number, const std::atomic<bool>& isDone)
{
    std::unique_ptr<Connection> connection;
    bool isKept = false;
    sleepMs(number * 43 % kClientIntervalMs);
    for (int index = 0; !isDone; ++index) {
        const std::int64_t begin = nowMs();
        if (!machine.isIn) {
            sleepMs(50);
            continue;
        }
        if (!connection) {
            connection = Connection::open(machine.outbound(), { machine.ip });
            isKept = false;
            if (!connection) {
                sleepMs(50);
                continue;
            }
        }
        const std::string id = "h" + std::to_string(number) + "-" + std::to_string(index);
        const bool isWritten = connection->write(clientRequest("GET", "/leny950/2f", id, kDeadlineMs));
        const auto answer = isWritten ? connection->readMessage(kDeadlineMs + 1000) : std::nullopt;
        {
            const std::lock_guard lock(resultMutex);
            ++sent;
            served += answer && answer->status() == 200 ? 1 : 0;
            if (!answer && isKept)
                closedAttempts.emplace_back(id, nowMs());
        }
        if (!answer || answer->status() != 200)
            record("client at " + machine.name + " " + id + " -> "
                + (answer ? std::to_string(answer->status()) : "the connection ended"));
        isKept = true;
        if (!answer)
            connection.reset();
        sleepMs(begin + kClientIntervalMs - nowMs());
    }
}

int run(const std::string& root)
{
    openRecord(environment("RECORD", root + "/review/1/record.txt"));
    const TemporaryFolder folder;
    FleetOptions options;
    options.root = root;
    options.folder = folder.path();
    options.memoryMb = kMemoryMb;
    options.services = { "hist-desk", "hist-desk", "hist-desk", "hist-desk", "due-board", "due-board" };
    options.adjustBackend = [](BackendOptions& backend) {
        backend.slots = 121;
        backend.workMs = 76;
        backend.responseBytes = 400;
    };
    Fleet fleet(options);
    fleet.putConfiguration(7, { { "r-history", "/leny950/", "safe", "hist-desk", 6000, 1500, 2, 2 } });
    if (!fleet.start())
        return 2;
    std::atomic<bool> isInTrouble { false };
    std::atomic<int> endless { 0 };
    std::atomic<int> running { 0 };
    for (std::size_t index = 0; index < 2 && hasTrouble(); ++index) { // A share of 0.5
        Backend& backend = *fleet.machines()[index]->backend;
        auto count = std::make_shared<std::atomic<int>>(0);
        const int every = static_cast<int>(1 / kShare);
        backend.respond = [&, count, every](Connection& connection, const Message& request) {
            const std::string attempt = request.header("Attempt-Id");
            const std::vector<std::pair<std::string, std::string>> identity { { "Attempt-Id", attempt },
                { "Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1" } };
            if (!isInTrouble || ++*count % every != 0)
                return connection.write(responseBytes(200, identity, answerBody(attempt, 400)));
            ++endless;
            ++running;
            const std::int64_t begin = nowMs();
            bool isOpen = connection.write("HTTP/1.1 200 X\r\nAttempt-Id: " + attempt
                + "\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nTransfer-Encoding: chunked\r\n\r\n");
            // Bytes that are no chunk: the line of its size never ends.
            const std::string chunk(kChunk, '?');
            for (double written = 0; isOpen; written += kChunk) {
                isOpen = connection.write(chunk);
                sleepMs(begin + static_cast<std::int64_t>(written / kMegabytesPerSecond / 1000) - nowMs());
            }
            --running;
            record("endless answer to " + attempt + " ended by the node after "
                + std::to_string(nowMs() - begin) + " ms");
            return false;
        };
    }
    std::atomic<bool> isDone { false };
    std::vector<std::thread> clients;
    for (std::size_t index = 0; index < fleet.machines().size(); ++index) {
        for (int client = 0; client < kClientsPerMachine; ++client) {
            const Machine& machine = *fleet.machines()[index];
            const int number = static_cast<int>(index) * kClientsPerMachine + client;
            clients.emplace_back([&machine, number, &isDone] { runClient(machine, number, isDone); });
        }
    }
    // The platform: ends a process that exceeds its memory, and starts it again after a short delay.
    std::vector<int> ends(fleet.machines().size(), 0);
    std::vector<double> peaks(fleet.machines().size(), 0);
    std::vector<std::int64_t> restartAt(fleet.machines().size(), 0);
    const std::int64_t begin = nowMs() + 2000;
    const std::int64_t until = begin + kEpisodes * kEpisodeEveryMs;
    while (nowMs() < until) {
        const bool isEpisode = nowMs() >= begin && (nowMs() - begin) % kEpisodeEveryMs < kEpisodeMs;
        if (isInTrouble.exchange(isEpisode) != isEpisode && hasTrouble())
            record(isEpisode ? "two of four backends of hist-desk are in trouble" : "the trouble has ended");
        for (std::size_t index = 0; index < fleet.machines().size(); ++index) {
            Machine& machine = *fleet.machines()[index];
            if (restartAt[index] != 0 && nowMs() >= restartAt[index]) {
                restartAt[index] = 0;
                fleet.startNode(machine);
            }
            const double resident = Fleet::residentMb(machine);
            peaks[index] = std::max(peaks[index], resident);
            std::string how;
            const bool isOver = resident > kMemoryMb;
            if (isOver) {
                record("node " + machine.name + " holds " + std::to_string(resident) + " MB, endless answers "
                    + std::to_string(running) + ": the platform ends it");
                fleet.signalNode(machine, SIGKILL);
            }
            if (isOver || fleet.takeEnd(machine, how)) {
                ++ends[index];
                restartAt[index] = nowMs() + 500;
            }
        }
        sleepMs(5);
    }
    isDone = true;
    for (std::thread& client : clients)
        client.join();

    int oftenEnded = 0;
    std::string perNode;
    for (std::size_t index = 0; index < ends.size(); ++index) {
        oftenEnded += ends[index] >= 3 ? 1 : 0;
        perNode += (index == 0 ? "" : ", ") + std::to_string(ends[index]) + "x/"
            + std::to_string(static_cast<int>(peaks[index])) + "MB";
    }
    std::set<std::string> passedOn;
    for (std::size_t index = 0; index < fleet.machines().size(); ++index) {
        if (index == 0 || index == 1)
            continue; // Backends in trouble aren't sound.
        for (const Arrival& arrival : fleet.machines()[index]->backend->arrivals()) {
            if (arrival.hasRun)
                passedOn.insert(arrival.attempt);
        }
    }
    for (const auto& [attempt, at] : closedAttempts)
        closedWithoutAnswer += passedOn.contains(attempt) ? 1 : 0;
    char line[400];
    std::snprintf(line, sizeof line,
        "requests sent %d, served %d, endless answers %d; ends of nodes over %d MB and peaks: %s; nodes that "
        "ended "
        "three times: %d; passed on from a kept connection to a sound backend and closed without an answer: "
        "%d",
        sent, served, static_cast<int>(endless), kMemoryMb, perNode.c_str(), oftenEnded, closedWithoutAnswer);
    record(line);
    std::puts(line);
    if (served < 500)
        return 2;
    return oftenEnded >= 2 || closedWithoutAnswer > 3 ? 1 : 0;
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
