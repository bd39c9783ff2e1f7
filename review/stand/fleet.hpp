/// A small deployment on loopback addresses: the store, machines with one node process and one backend each,
/// and a readiness check for each node.
#pragma once

#include "backend.hpp"
#include "store.hpp"

#include <sys/types.h>

namespace review {

/// A machine: one loopback address with the ports of the platform's pages.
struct Machine {
    std::string name;
    std::string ip;
    std::string service;
    std::string zone;
    std::unique_ptr<Backend> backend;
    pid_t process = 0;
    int starts = 0;
    std::int64_t startedAt = 0;
    std::atomic<bool> isIn { false }; ///< Gets new work of its clients.
    std::atomic<bool> isReady { false };

    Endpoint outbound() const { return { ip, 8304 }; }
    Endpoint ready() const { return { ip, 8302 }; }
    Endpoint control() const { return { ip, 8306 }; }
    Endpoint app() const { return { ip, 8301 }; }
};

struct RouteOptions {
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 5000;
    int goalMs = 1500;
    int priority = 0;
    int attempts = 2;
};

struct FleetOptions {
    std::string root; ///< The repository.
    std::string folder; ///< For settings files and logs.
    std::vector<std::string> services; ///< Service of each machine.
    std::vector<std::string> zones { "regina", "saskatoon" };
    int memoryMb = 260;
    std::function<void(BackendOptions&)> adjustBackend;
};

inline constexpr char kHost[] = "hulo84.example";

class Fleet {
public:
    explicit Fleet(FleetOptions options);
    ~Fleet();

    void putConfiguration(std::uint64_t version, const std::vector<RouteOptions>& routes);
    /// Starts all backends and nodes, and waits until all nodes are ready. False if they aren't in time.
    bool start(int timeoutMs = 15'000);
    void startNode(Machine& machine);
    /// Sends a signal to a node; for SIGKILL, waits for its end.
    void signalNode(Machine& machine, int number);
    /// True once the process of the node has ended.
    bool takeEnd(Machine& machine, std::string& how);
    /// Resident memory of a node process at its peak, in MB.
    static double residentMb(const Machine& machine, const char* field = "VmRSS:");
    Store& store() { return *store_; }
    std::vector<std::unique_ptr<Machine>>& machines() { return machines_; }

private:
    std::string settingsFor(const Machine& machine) const;
    void checkReadiness();

    const FleetOptions options_;
    std::string network_; ///< First three numbers of the machines' addresses, with a dot behind.
    std::unique_ptr<Store> store_;
    std::vector<std::unique_ptr<Machine>> machines_;
    std::atomic<bool> isStopping_ { false };
    std::thread readiness_;
};

/// Result of a client's attempt.
struct Attempt {
    std::string id;
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    int status = 0; ///< 0: no answer.
    bool isComplete = false; ///< A success with the whole body of the backend.
    std::string error;
};

std::string clientRequest(const std::string& method, const std::string& path, const std::string& id,
    int deadlineMs, const std::string& body = "");
/// Sends one request on a new connection of the machine's clients.
Attempt sendRequest(const Machine& machine, const std::string& method, const std::string& path,
    const std::string& id, int deadlineMs, const std::string& body = "");

/// Value of an environment variable, or the fallback.
std::string environment(const char* name, const std::string& fallback);
/// False if TROUBLE=0.
bool hasTrouble();
/// Removes the folder with settings and logs at the end of its scope.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

} // namespace review
