// Stand-ins of the second review: the platform's store, a backend with its check-ins, clients, and the node
// processes. Plain POSIX sockets and threads; all addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

using Clock = std::chrono::steady_clock;

inline double secondsSinceStart()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// True unless the environment holds TROUBLE=0.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// The file record.txt: one line for each thing that was sent, answered or run.
class Record {
public:
    explicit Record(const std::string& path)
        : file_(path)
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", secondsSinceStart());
        file_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

// ---- sockets and HTTP ----

inline sockaddr_in socketAddress(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in result {};
    result.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    return result;
}

inline int listenOn(const std::string& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in target = socketAddress(address);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline int connectTo(const std::string& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = socketAddress(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
        close(fd);
        return -1;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool sendAll(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline std::string lower(std::string text)
{
    for (char& byte : text)
        byte = static_cast<char>(std::tolower(static_cast<unsigned char>(byte)));
    return text;
}

struct Message {
    std::string first, second, third; ///< The three parts of the start line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (lower(key) == lower(name))
                return value;
        }
        return "";
    }
    int status() const { return std::atoi(second.c_str()); }
};

/// Reads messages with a length or in chunks from one connection.
class Reader {
public:
    explicit Reader(int fd)
        : fd_(fd)
    {
    }
    /// Empty at the end of the connection, at the timeout, and for bytes that are no message.
    std::optional<Message> next(double timeoutSeconds = 3600)
    {
        deadline_ = Clock::now()
            + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(timeoutSeconds));
        Message message;
        std::string line;
        if (!readLine(line))
            return std::nullopt;
        std::istringstream start(line);
        start >> message.first >> message.second;
        std::getline(start, message.third);
        while (readLine(line) && !line.empty()) {
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                return std::nullopt;
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            message.headers.emplace_back(line.substr(0, colon), line.substr(value));
        }
        if (hasEnded_)
            return std::nullopt;
        if (lower(message.header("transfer-encoding")) == "chunked") {
            for (;;) {
                if (!readLine(line))
                    return std::nullopt;
                const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
                if (size == 0)
                    break;
                if (!fill(size + 2))
                    return std::nullopt;
                message.body += buffer_.substr(0, size);
                buffer_.erase(0, size + 2);
            }
            while (readLine(line) && !line.empty()) { }
            return hasEnded_ ? std::nullopt : std::optional(message);
        }
        const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
        if (!fill(length))
            return std::nullopt;
        message.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return message;
    }

private:
    bool readMore()
    {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - Clock::now()).count();
        pollfd waiting { fd_, POLLIN, 0 };
        char bytes[16384];
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            hasEnded_ = true;
            return false;
        }
        const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            hasEnded_ = true;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool fill(std::size_t size)
    {
        while (buffer_.size() < size) {
            if (!readMore())
                return false;
        }
        return true;
    }
    bool readLine(std::string& line)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!readMore())
                return false;
        }
        line = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }

    int fd_;
    std::string buffer_;
    Clock::time_point deadline_;
    bool hasEnded_ = false;
};

inline std::string response(int status, const std::string& body, const std::string& headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each in a thread of its own, which ends with the process.
class Server {
public:
    /// Returns false when the connection is to be closed.
    using Handler = std::function<bool(int fd, const Message& request)>;

    bool start(const std::string& address, Handler handler)
    {
        const int listening = listenOn(address);
        if (listening < 0)
            return false;
        std::thread([listening, handler = std::move(handler)] {
            for (;;) {
                const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    continue;
                const int one = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                std::thread([fd, handler] {
                    Reader reader(fd);
                    while (const auto request = reader.next()) {
                        if (!handler(fd, *request))
                            break;
                    }
                    close(fd);
                }).detach();
            }
        }).detach();
        return true;
    }
};

// ---- the platform's store ----

/// Lists, watches, creates and replaces objects; keeps all history.
class Store {
public:
    bool start(const std::string& address)
    {
        return server_.start(address, [this](int fd, const Message& request) {
            return sendAll(fd, answer(request));
        });
    }
    /// While it is down it answers each call, also watches that wait, with 503: nothing was done.
    void setDown(bool isDown)
    {
        const std::lock_guard lock(mutex_);
        isDown_ = isDown;
        changed_.notify_all();
    }
    /// Writes an object as the operator does.
    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard lock(mutex_);
        write(kind, name, spec);
    }
    bool has(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(mutex_);
        return kinds_[kind].contains(name);
    }

private:
    static constexpr int kPageSize = 500; ///< Objects in one page of a listing.

    struct Object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
    };

    static std::string queryValue(const std::string& query, const std::string& key)
    {
        const std::size_t at = ("&" + query).find("&" + key + "=");
        if (at == std::string::npos)
            return "";
        const std::string rest = query.substr(at + key.size() + 1);
        return rest.substr(0, rest.find('&'));
    }
    void write(const std::string& kind, const std::string& name, const std::string& spec)
    {
        Object& object = kinds_[kind][name];
        if (object.spec == spec)
            return;
        object.revision = ++revision_;
        object.created = object.created == 0 ? revision_ : object.created;
        object.spec = spec;
        changed_.notify_all();
    }
    std::string text(const std::string& name, const Object& object) const
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision)
            + ",\"created\":" + std::to_string(object.created) + ",\"finalizers\":[],\"deleting\":false},\"spec\":"
            + object.spec + ",\"status\":null}";
    }
    std::string json(int status, const std::string& body) const
    {
        return response(status, body, "Content-Type: application/json\r\n");
    }
    /// The text of a field's value, an object, in a small JSON document.
    static std::string member(const std::string& document, const std::string& key)
    {
        std::size_t at = document.find("\"" + key + "\":");
        if (at == std::string::npos)
            return "";
        at += key.size() + 3;
        int depth = 0;
        bool isText = false;
        for (std::size_t end = at; end < document.size(); ++end) {
            const char byte = document[end];
            if (byte == '"' && document[end - 1] != '\\')
                isText = !isText;
            if (isText)
                continue;
            depth += byte == '{' ? 1 : byte == '}' ? -1 : 0;
            if (depth == 0 && byte == '}')
                return document.substr(at, end + 1 - at);
        }
        return "";
    }
    std::string answer(const Message& request)
    {
        const std::string prefix = "/jackdawwall/objects/";
        const std::size_t mark = request.second.find('?');
        const std::string path = request.second.substr(0, mark);
        const std::string query = mark == std::string::npos ? "" : request.second.substr(mark + 1);
        if (path.rfind(prefix, 0) != 0)
            return json(404, "{}");
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        std::string name = rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
        std::unique_lock lock(mutex_);
        if (isDown_)
            return json(503, "{}");
        auto& objects = kinds_[kind];
        if (request.first == "GET" && !queryValue(query, "watch").empty()) {
            const std::uint64_t after = std::strtoull(queryValue(query, "watch").c_str(), nullptr, 10);
            const int wait = std::atoi(queryValue(query, "wait_ms").c_str());
            const auto events = [&] {
                std::string result;
                for (const auto& [key, object] : objects) {
                    if (object.revision > after)
                        result += (result.empty() ? "" : ",") + ("{\"deleted\":false,\"object\":" + text(key, object) + "}");
                }
                return result;
            };
            changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] { return isDown_ || !events().empty(); });
            if (isDown_)
                return json(503, "{}");
            return json(200, "{\"events\":[" + events() + "],\"at_rev\":" + std::to_string(revision_) + "}");
        }
        if (request.first == "GET" && name.empty()) {
            std::string items;
            auto next = objects.upper_bound(queryValue(query, "after"));
            for (int count = 0; next != objects.end() && count < kPageSize; ++next, ++count)
                items += (items.empty() ? "" : ",") + text(next->first, next->second);
            const std::string hasMore = next == objects.end() ? "false" : "true";
            return json(200, "{\"items\":[" + items + "],\"has_more\":" + hasMore
                    + ",\"at_rev\":" + std::to_string(revision_) + "}");
        }
        if (request.first == "GET")
            return objects.contains(name) ? json(200, text(name, objects[name])) : json(404, "{}");
        const std::string metadata = member(request.body, "metadata");
        const std::string spec = member(request.body, "spec");
        if (request.first == "POST") {
            const std::size_t at = metadata.find("\"name\":\"") + 8;
            name = metadata.substr(at, metadata.find('"', at) - at);
            if (objects.contains(name))
                return json(409, text(name, objects[name]));
        } else if (request.first == "PUT") {
            if (!objects.contains(name))
                return json(404, "{}");
            const std::size_t at = metadata.find("\"revision\":");
            if (at != std::string::npos
                && std::strtoull(metadata.c_str() + at + 11, nullptr, 10) != objects[name].revision)
                return json(409, text(name, objects[name]));
        } else {
            return json(404, "{}");
        }
        write(kind, name, spec);
        return json(200, text(name, objects[name]));
    }

    Server server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isDown_ = false;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::map<std::string, Object>> kinds_;
};

// ---- machines ----

/// One machine: its addresses, its node process and its backend's check-ins.
struct Machine {
    std::string name, service, ip;
    std::string id; ///< Of its backend.
    std::uint64_t born = 0;
    pid_t process = -1;
    std::atomic<bool> hasLeft = false; ///< Its backend sends no further check-ins.

    std::string outbound() const { return ip + ":8304"; }
    std::string inbound() const { return ip + ":8300"; }
    std::string ready() const { return ip + ":8302"; }
    std::string control() const { return ip + ":8306"; }
    std::string app() const { return ip + ":8301"; }
};

/// All machines of a small deployment, its store, and a temporary folder for the settings.
class Fleet {
public:
    Fleet(std::string program, Record& record)
        : program_(std::move(program))
        , record_(record)
    {
        char folder[] = "/tmp/review-2-XXXXXX";
        folder_ = mkdtemp(folder);
        std::random_device random;
        // A range of loopback addresses of its own, so that fixed ports are free on each.
        for (int attempt = 0; attempt < 50; ++attempt) {
            net_ = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
            const int probe = listenOn(net_ + "1:8300");
            if (probe >= 0) {
                close(probe);
                break;
            }
        }
    }
    ~Fleet() { stop(); }

    Store store;
    std::vector<std::unique_ptr<Machine>> machines;

    std::string address(int machine) const { return net_ + std::to_string(machine); }
    std::string storeAddress() const { return net_ + "250:8309"; }
    bool startStore() { return store.start(storeAddress()); }

    Machine& add(const std::string& name, const std::string& service)
    {
        auto machine = std::make_unique<Machine>();
        machine->name = name;
        machine->service = service;
        machine->ip = address(static_cast<int>(machines.size()) + 1);
        machine->id = "i-" + name;
        machine->born = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch()).count());
        machines.push_back(std::move(machine));
        return *machines.back();
    }

    /// Starts the node with the command of the deploy file and settings in the form of its template. To be called
    /// from the main thread, as the node ends with the thread that starts it.
    bool startNode(Machine& machine)
    {
        const std::string file = folder_ + "/" + machine.name + ".json";
        std::ofstream settings(file);
        settings << "{\n  \"process\": \"" << machine.name << "\",\n  \"service\": \"" << machine.service
                 << "\",\n  \"dataCentre\": \"zone-a\",\n  \"callerAddress\": \"" << machine.outbound()
                 << "\",\n  \"peerAddress\": \"" << machine.inbound() << "\",\n  \"readyAddress\": \"" << machine.ready()
                 << "\",\n  \"heartbeatAddress\": \"" << machine.control() << "\",\n  \"operatorAddress\": \"" << machine.ip
                 << ":9464\",\n  \"targetAddress\": \"" << machine.app() << "\",\n  \"platformAddress\": \"" << storeAddress()
                 << "\",\n  \"memoryMegabytes\": 260,\n  \"descriptors\": 4100,\n  \"stopSeconds\": 6,\n"
                 << "  \"repeatRatio\": 0.2,\n  \"repeatExtra\": 47,\n  \"repeatWindowSeconds\": 10\n}\n";
        settings.close();
        const pid_t process = fork();
        if (process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with this process, however that ends.
            const int log = open((folder_ + "/" + machine.name + ".log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            setenv("JACKDAWWALL_SETTINGS", file.c_str(), 1);
            setenv("JACKDAW_CONFIGURATION_APPLY_MS", "2000", 1);
            execl(program_.c_str(), program_.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        machine.process = process;
        record_.line("started the node of " + machine.name + " (" + machine.service + ")");
        return process > 0;
    }

    /// Kills the node of a machine that is not one of `machines`, and deletes its files.
    void remove(Machine& machine)
    {
        kill(machine.process, SIGKILL);
        waitpid(machine.process, nullptr, 0);
        machine.process = -1;
        std::remove((folder_ + "/" + machine.name + ".json").c_str());
        std::remove((folder_ + "/" + machine.name + ".log").c_str());
    }

    /// How the process ended by itself; empty if it still runs after so many seconds.
    std::string endOf(Machine& machine, double waitSeconds = 0)
    {
        if (machine.process <= 0)
            return ended_[machine.name];
        const double end = secondsSinceStart() + waitSeconds;
        int status = 0;
        while (waitpid(machine.process, &status, WNOHANG) != machine.process) {
            if (secondsSinceStart() >= end)
                return "";
            sleepSeconds(0.05);
        }
        machine.process = -1;
        return ended_[machine.name] = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                          : "exit code " + std::to_string(WEXITSTATUS(status));
    }

    /// The last lines that a node wrote.
    std::string lastLog(const Machine& machine, int lines = 3) const
    {
        std::ifstream file(folder_ + "/" + machine.name + ".log");
        std::vector<std::string> all;
        for (std::string line; std::getline(file, line);)
            all.push_back(line);
        std::string result;
        for (std::size_t at = all.size() > static_cast<std::size_t>(lines) ? all.size() - lines : 0; at < all.size(); ++at)
            result += "\n    " + all[at].substr(0, 300);
        return result;
    }

    bool isReady(const Machine& machine) const
    {
        const int fd = connectTo(machine.ready());
        if (fd < 0)
            return false;
        sendAll(fd, "GET /jackdawwall/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        Reader reader(fd);
        const auto reply = reader.next(1);
        close(fd);
        return reply && reply->status() == 200;
    }

    bool waitReady(double timeoutSeconds)
    {
        const double end = secondsSinceStart() + timeoutSeconds;
        for (const auto& machine : machines) {
            while (!isReady(*machine)) {
                if (secondsSinceStart() > end)
                    return false;
                sleepSeconds(0.1);
            }
        }
        return true;
    }

    /// What the backend of a machine says of itself when it is ready.
    static std::string checkIn(const Machine& machine, std::uint64_t sequence)
    {
        return "{\"service\":\"" + machine.service + "\",\"address\":\"" + machine.app()
            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"capacity\":36,\"state\":\"ready\",\"cold_left_ms\":0,"
            + "\"sequence\":" + std::to_string(sequence) + ",\"born\":" + std::to_string(machine.born) + "}";
    }
    /// Sends a message of a backend to its node; `call` is "heartbeat" or "leave". True if it was acknowledged
    /// within a second.
    static bool tell(const Machine& machine, const std::string& call, const std::string& body)
    {
        const int fd = connectTo(machine.control());
        if (fd < 0)
            return false;
        sendAll(fd, "POST /jackdawwall/rpc?call=instances." + call + "&of=" + machine.id
                + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body);
        Reader reader(fd);
        const auto reply = reader.next(1);
        close(fd);
        return reply && reply->status() / 100 == 2;
    }
    /// Sends the check-ins of a machine's backend every 0.5 s until the backend leaves.
    void startCheckIns(const Machine& machine)
    {
        std::thread([&machine] {
            for (std::uint64_t sequence = 1; !machine.hasLeft; ++sequence) {
                tell(machine, "heartbeat", checkIn(machine, sequence));
                sleepSeconds(0.5);
            }
        }).detach();
    }
    /// Kills the nodes of all machines at the same moment.
    void killAll()
    {
        for (const auto& machine : machines)
            kill(machine->process, SIGKILL);
        for (const auto& machine : machines) {
            waitpid(machine->process, nullptr, 0);
            machine->process = -1;
        }
        record_.line("killed the nodes of all machines");
    }

    /// Ends all processes that this fleet started, by their ids.
    void stop()
    {
        for (const auto& machine : machines) {
            if (machine->process > 0) {
                kill(machine->process, SIGKILL);
                waitpid(machine->process, nullptr, 0);
                machine->process = -1;
            }
        }
        if (!folder_.empty()) {
            for (const auto& machine : machines) {
                std::remove((folder_ + "/" + machine->name + ".json").c_str());
                std::remove((folder_ + "/" + machine->name + ".log").c_str());
            }
            rmdir(folder_.c_str());
            folder_.clear();
        }
    }

private:
    std::string program_;
    Record& record_;
    std::string folder_, net_;
    std::map<std::string, std::string> ended_;
};

/// One route of a configuration.
struct RouteSpec {
    std::string name, prefix, kind, service;
    int timeoutMs = 10000;
};

/// A configuration as the operator writes it, with the limits that the pages show.
inline std::string configuration(int version, const std::vector<RouteSpec>& routes)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    std::map<std::string, bool> services;
    for (const RouteSpec& route : routes) {
        text += (text.back() == '[' ? "" : ",") + ("{\"name\":\"" + route.name + "\",\"host\":\"calls.example\",\"prefix\":\"")
            + route.prefix + "\",\"kind\":\"" + route.kind + "\",\"timeout_ms\":" + std::to_string(route.timeoutMs)
            + ",\"goal_ms\":5000,\"priority\":1,\"service\":\"" + route.service + "\",\"attempts\":2}";
        services[route.service] = true;
    }
    text += "],\"services\":[";
    for (const auto& [service, used] : services)
        text += (text.back() == '[' ? "" : ",") + ("{\"name\":\"" + service)
            + "\",\"health_path\":\"/health\",\"max_conns\":316,\"protocol\":\"h1\",\"tls\":false}";
    return text + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                  "\"idle_timeout_ms\":15000}}";
}

/// A sound backend: runs each request for the milliseconds that its path ends with, and records the run.
class Backend {
public:
    /// Sends the answer of a fault and returns true; or sends nothing and returns false, for a sound answer.
    using Fault = std::function<bool(int fd, const Message& request)>;

    bool start(const Machine& machine, Record& record, Fault fault = nullptr)
    {
        return server_.start(machine.app(), [this, &machine, &record, fault](int fd, const Message& request) {
            const std::string id = request.header("Attempt-Id");
            if (request.second == "/health")
                return sendAll(fd, response(200, "", "Instance-Id: " + machine.id + "\r\n"));
            const std::string expected = request.header("Expect-Instance");
            if (!expected.empty() && expected != machine.id)
                return sendAll(fd, response(421, "", "Instance-Id: " + machine.id + "\r\n"));
            if (id.empty())
                return sendAll(fd, response(400, "", "Not-Executed: 1\r\n"));
            record.line("run    " + id + " at " + machine.name + ": " + request.first + " " + request.second
                + " with " + std::to_string(request.body.size()) + " bytes");
            {
                const std::lock_guard lock(mutex_);
                runs_[id].push_back(request);
            }
            if (fault && fault(fd, request))
                return true;
            const std::size_t slash = request.second.rfind('/');
            sleepSeconds(std::atoi(request.second.c_str() + slash + 1) / 1000.0);
            const std::string body = "answer to " + id;
            return sendAll(fd, response(200, body, "Attempt-Id: " + id + "\r\nResponse-Seal: " + id + ".seal\r\n"));
        });
    }
    /// The requests that it ran, by their id.
    std::map<std::string, std::vector<Message>> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    Server server_;
    std::mutex mutex_;
    std::map<std::string, std::vector<Message>> runs_;
};

inline std::string requestHead(const std::string& method, const std::string& path, const std::string& id,
    const std::string& headers = "", int deadlineMs = 8000)
{
    return method + " " + path + " HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + headers + "\r\n";
}

} // namespace stand

namespace stand {

// ---- clients ----

/// Outcome of one request, as its client sees it.
struct Outcome {
    std::string id;
    int status = 0; ///< 0: the connection ended without a complete answer.
    double afterSeconds = 0;
};

/// Sends bytes on a new connection and reads `answers` responses.
inline std::vector<Message> exchange(
    const std::string& address, const std::string& bytes, int answers, double timeoutSeconds = 9)
{
    std::vector<Message> result;
    const int fd = connectTo(address);
    if (fd < 0)
        return result;
    sendAll(fd, bytes);
    Reader reader(fd);
    while (static_cast<int>(result.size()) < answers) {
        const auto reply = reader.next(timeoutSeconds);
        if (!reply)
            break;
        result.push_back(*reply);
    }
    close(fd);
    return result;
}

/// Clients that keep one connection each: a short request first, then a long one that is in flight meanwhile.
class KeptClients {
public:
    KeptClients(Record& record, std::string address)
        : record_(record)
        , address_(std::move(address))
    {
    }
    /// `path` ends with a slash; a number of milliseconds follows.
    void start(int count, const std::string& path, int milliseconds)
    {
        outcomes_.resize(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            threads_.emplace_back([this, index, path, milliseconds] {
                Outcome& outcome = outcomes_[static_cast<std::size_t>(index)];
                const std::string name = "kept-" + std::to_string(index);
                const int fd = connectTo(address_);
                Reader reader(fd);
                sendAll(fd, requestHead("GET", path + "5", name + "-first"));
                const auto first = reader.next(3);
                isKept_ += first && first->status() == 200 ? 1 : 0;
                outcome.id = name + "-long";
                const double sent = secondsSinceStart();
                record_.line("sent   " + outcome.id + " to " + address_ + " on a kept connection");
                sendAll(fd, requestHead("GET", path + std::to_string(milliseconds), outcome.id));
                const auto reply = reader.next(12);
                outcome.status = reply ? reply->status() : 0;
                outcome.afterSeconds = secondsSinceStart() - sent;
                record_.line(reply ? "answer " + outcome.id + ": " + std::to_string(outcome.status)
                                   : "ended  " + outcome.id + ": the connection ended without an answer");
                close(fd);
            });
        }
    }
    /// Number of connections whose first request was answered with success.
    int kept() const { return isKept_; }
    std::vector<Outcome> finish()
    {
        for (std::thread& thread : threads_)
            thread.join();
        threads_.clear();
        return outcomes_;
    }

private:
    Record& record_;
    std::string address_;
    std::vector<Outcome> outcomes_;
    std::vector<std::thread> threads_;
    std::atomic<int> isKept_ = 0;
};

/// Requests that a sound backend ran and whose kept connection ended without an answer.
inline int countLost(const std::vector<Outcome>& outcomes, const std::map<std::string, std::vector<Message>>& runs)
{
    int lost = 0;
    for (const Outcome& outcome : outcomes)
        lost += outcome.status == 0 && runs.contains(outcome.id) ? 1 : 0;
    return lost;
}

/// Ends the process at once, also with threads that still wait. 0: held, 1: broken, 2: the case couldn't run.
[[noreturn]] inline void finish(Fleet& fleet, Record& record, int code, const std::string& text)
{
    record.line("result: " + text);
    fleet.stop();
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
    _exit(code);
}

} // namespace stand
