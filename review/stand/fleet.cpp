#include "fleet.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

std::string readFile(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
        throw std::runtime_error("can't read " + file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// Value of a key of deploy/system.toml.
std::string deployValue(const std::string& root, const std::string& key)
{
    std::istringstream lines(readFile(root + "/deploy/system.toml"));
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(key + " = \"", 0) == 0)
            return line.substr(key.size() + 4, line.rfind('"') - key.size() - 4);
    }
    throw std::runtime_error("deploy/system.toml has no " + key);
}

void replaceAll(std::string& text, const std::string& from, const std::string& to)
{
    for (auto position = text.find(from); position != std::string::npos;
         position = text.find(from, position + to.size()))
        text.replace(position, from.size(), to);
}

bool isFree(const std::string& ip, int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool result = bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0
        && listen(descriptor, 1) == 0;
    close(descriptor);
    return result;
}

/// A loopback network in which the ports of the pages are free.
std::string freeNetwork(std::size_t machines)
{
    std::random_device random;
    for (int attempt = 0; attempt < 200; ++attempt) {
        const std::string network
            = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
        bool areFree = isFree(network + "250", 8309);
        for (std::size_t index = 0; index < machines && areFree; ++index) {
            for (const int port : { 8300, 8301, 8302, 8304, 8306, 9464 })
                areFree = areFree && isFree(network + std::to_string(index + 1), port);
        }
        if (areFree)
            return network;
    }
    throw std::runtime_error("no free loopback network");
}

} // namespace

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options))
    , network_(freeNetwork(options_.services.size()))
    , store_(std::make_unique<Store>(Endpoint { network_ + "250", 8309 }))
{
    for (std::size_t index = 0; index < options_.services.size(); ++index) {
        auto machine = std::make_unique<Machine>();
        machine->zone = options_.zones[index % options_.zones.size()];
        machine->name = "sidecar-" + machine->zone + "-" + std::to_string(index + 1);
        machine->ip = network_ + std::to_string(index + 1);
        machine->service = options_.services[index];
        machines_.push_back(std::move(machine));
    }
}

Fleet::~Fleet()
{
    isStopping_ = true;
    if (readiness_.joinable())
        readiness_.join();
    for (const auto& machine : machines_) {
        if (machine->process > 0) {
            kill(machine->process, SIGKILL);
            waitpid(machine->process, nullptr, 0);
        }
    }
}

void Fleet::putConfiguration(std::uint64_t version, const std::vector<RouteOptions>& routes)
{
    Json::Value value;
    value["version"] = Json::UInt64(version);
    std::set<std::string> services;
    for (const RouteOptions& route : routes) {
        Json::Value entry;
        entry["name"] = route.name;
        entry["host"] = kHost;
        entry["prefix"] = route.prefix;
        entry["kind"] = route.kind;
        entry["timeout_ms"] = route.timeoutMs;
        entry["goal_ms"] = route.goalMs;
        entry["priority"] = route.priority;
        entry["service"] = route.service;
        entry["attempts"] = route.attempts;
        value["routes"].append(entry);
        services.insert(route.service);
    }
    for (const std::string& service : services) {
        Json::Value entry;
        entry["name"] = service;
        entry["health_path"] = "/health";
        entry["max_conns"] = 316;
        entry["protocol"] = "h1";
        entry["tls"] = false;
        value["services"].append(entry);
    }
    value["limits"]["max_header_bytes"] = 16384;
    value["limits"]["max_body_bytes"] = 67108864;
    value["limits"]["header_timeout_ms"] = 3000;
    value["limits"]["idle_timeout_ms"] = 15000;
    store_->put("config", "main", value);
    record("operator: configuration " + std::to_string(version) + " is in the store");
}

std::string Fleet::settingsFor(const Machine& machine) const
{
    std::string text = readFile(options_.root + "/" + deployValue(options_.root, "template"));
    const auto quoted = [](const std::string& value) { return "\"" + value + "\""; };
    const std::vector<std::pair<std::string, std::string>> fields {
        { "{{node_name|json}}", quoted(machine.name) },
        { "{{service|json}}", quoted(machine.service) },
        { "{{zone|json}}", quoted(machine.zone) },
        { "{{listen_addrs.outbound|json}}", quoted(machine.outbound().text()) },
        { "{{listen_addrs.inbound|json}}", quoted(machine.ip + ":8300") },
        { "{{listen_addrs.ready|json}}", quoted(machine.ready().text()) },
        { "{{listen_addrs.control|json}}", quoted(machine.control().text()) },
        { "{{bind_ip}}", machine.ip },
        { "{{app_addr|json}}", quoted(machine.app().text()) },
        { "{{platform.address|json}}", quoted(network_ + "250:8309") },
        { "{{limits.memory_mb|json}}", std::to_string(options_.memoryMb) },
        { "{{limits.max_fds|json}}", "4100" },
        { "{{bounds.grace_s|json}}", "6" },
        { "{{bounds.budget_ratio|json}}", "0.2" },
        { "{{bounds.budget_extra|json}}", "47" },
        { "{{bounds.budget_window_s|json}}", "10" },
    };
    for (const auto& [placeholder, value] : fields)
        replaceAll(text, placeholder, value);
    if (text.find("{{") != std::string::npos)
        throw std::runtime_error("the template has a placeholder that the stand-in doesn't know");
    return text;
}

bool Fleet::start(int timeoutMs)
{
    for (const auto& machine : machines_) {
        startNode(*machine);
        BackendOptions backend;
        backend.id = "i-" + machine->service + "-" + std::to_string(machine->starts)
            + machine->ip.substr(machine->ip.rfind('.') + 1);
        backend.service = machine->service;
        backend.zone = machine->zone;
        backend.address = machine->app();
        backend.control = machine->control();
        if (options_.adjustBackend)
            options_.adjustBackend(backend);
        machine->backend = std::make_unique<Backend>(backend);
    }
    readiness_ = std::thread([this] { checkReadiness(); });
    const std::int64_t deadline = nowMs() + timeoutMs;
    while (nowMs() < deadline) {
        bool areReady = true;
        for (const auto& machine : machines_)
            areReady = areReady && machine->isReady;
        if (areReady) {
            sleepMs(3000); // Backends report, and the machines are in touch.
            record("all nodes are ready");
            return true;
        }
        sleepMs(50);
    }
    return false;
}

void Fleet::startNode(Machine& machine)
{
    const std::string settings = options_.folder + "/" + machine.name + ".json";
    std::ofstream(settings) << settingsFor(machine);
    const std::string log = options_.folder + "/" + machine.name + ".log";
    const std::string program = deployValue(options_.root, "run");
    const std::string variable = "JACKDAWWALL_SETTINGS=" + settings;
    const std::string path = std::string("PATH=") + environment("PATH", "/usr/bin:/bin");
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child < 0)
        throw std::runtime_error("can't start a process");
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // No process outlives the case.
        if (getppid() != parent || chdir(options_.root.c_str()) != 0)
            _exit(126);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        for (int descriptor = 3; descriptor < 4096; ++descriptor)
            close(descriptor);
        const char* arguments[] = { program.c_str(), nullptr };
        const char* variables[] = { variable.c_str(), path.c_str(), "LANG=C", nullptr };
        execve(program.c_str(), const_cast<char**>(arguments), const_cast<char**>(variables));
        _exit(127);
    }
    machine.process = child;
    machine.startedAt = nowMs();
    ++machine.starts;
    record("node " + machine.name + " starts (" + std::to_string(machine.starts) + ")");
}

void Fleet::signalNode(Machine& machine, int number)
{
    if (machine.process <= 0)
        return;
    record("node " + machine.name + " gets signal " + std::to_string(number));
    kill(machine.process, number);
    if (number != SIGKILL)
        return;
    waitpid(machine.process, nullptr, 0);
    machine.process = 0;
    machine.isReady = false;
}

bool Fleet::takeEnd(Machine& machine, std::string& how)
{
    int status = 0;
    if (machine.process <= 0 || waitpid(machine.process, &status, WNOHANG) != machine.process)
        return false;
    machine.process = 0;
    how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                              : "exit code " + std::to_string(WEXITSTATUS(status));
    record("node " + machine.name + " ended: " + how);
    return true;
}

double Fleet::residentMb(const Machine& machine, const char* field)
{
    std::ifstream status("/proc/" + std::to_string(machine.process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(field, 0) == 0)
            return std::atof(line.c_str() + std::strlen(field)) / 1024;
    }
    return 0;
}

void Fleet::checkReadiness()
{
    std::vector<int> misses(machines_.size(), 0);
    std::int64_t next = nowMs();
    while (!isStopping_) {
        for (std::size_t index = 0; index < machines_.size(); ++index) {
            Machine& machine = *machines_[index];
            const auto answer = exchange(
                machine.ready(), requestBytes("GET", "/jackdawwall/ready", { { "Host", "x" } }, ""), 300);
            const bool isReady = answer && answer->status() == 200;
            misses[index] = isReady ? 0 : misses[index] + 1;
            machine.isReady = isReady;
            if (isReady || misses[index] >= 2)
                machine.isIn = isReady;
        }
        next += 1000;
        while (!isStopping_ && nowMs() < next)
            sleepMs(10);
    }
}

std::string clientRequest(const std::string& method, const std::string& path, const std::string& id,
    int deadlineMs, const std::string& body)
{
    return requestBytes(method, path,
        { { "Host", kHost }, { "Attempt-Id", id }, { "Deadline-Ms", std::to_string(deadlineMs) } }, body);
}

Attempt sendRequest(const Machine& machine, const std::string& method, const std::string& path,
    const std::string& id, int deadlineMs, const std::string& body)
{
    Attempt attempt;
    attempt.id = id;
    attempt.sentAt = nowMs();
    const auto answer = exchange(machine.outbound(), clientRequest(method, path, id, deadlineMs, body),
        deadlineMs + 1000, { machine.ip });
    attempt.endedAt = nowMs();
    if (answer) {
        attempt.status = answer->status();
        attempt.isComplete = attempt.status == 200 && answer->body.rfind("answer to " + id + "\n", 0) == 0;
    } else {
        attempt.error = "the connection ended without an answer";
    }
    record("client at " + machine.name + " " + method + " " + id + " -> " + std::to_string(attempt.status)
        + " after " + std::to_string(attempt.endedAt - attempt.sentAt) + " ms");
    return attempt;
}

std::string environment(const char* name, const std::string& fallback)
{
    const char* value = std::getenv(name);
    return value == nullptr || *value == '\0' ? fallback : value;
}

bool hasTrouble()
{
    return environment("TROUBLE", "1") != "0";
}

TemporaryFolder::TemporaryFolder()
{
    path_ = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(path_.data()) == nullptr)
        throw std::runtime_error("can't create a temporary folder");
}

TemporaryFolder::~TemporaryFolder()
{
    if (environment("KEEP", "").empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    } else {
        std::fprintf(stderr, "kept %s\n", path_.c_str());
    }
}

} // namespace review
