// Stand-ins for the cases of the review in REPORT-3.md: the platform's store, backends and clients, as threads
// of one program that starts the nodes as processes. Blocking sockets on loopback addresses only.
#pragma once

#include <json/json.h>

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
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace stand {

using SteadyClock = std::chrono::steady_clock;

constexpr int kPassed = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

inline double now()
{
    static const auto start = SteadyClock::now();
    return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

/// Writes lines with the time since the start to the record and to standard output.
class Record {
public:
    explicit Record(const std::string& file)
        : file_(std::fopen(file.c_str(), "w"))
    {
    }
    ~Record()
    {
        if (file_ != nullptr)
            std::fclose(file_);
    }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> lock(mutex_);
        for (std::FILE* out : { file_, stdout }) {
            if (out == nullptr)
                continue;
            std::fprintf(out, "%8.3f %s\n", now(), text);
            std::fflush(out);
        }
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        for (const auto& [key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return "";
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const std::size_t begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
    int status() const { return std::atoi(startLine.substr(startLine.find(' ') + 1).c_str()); }
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

class Connection {
public:
    enum class End { Complete, Closed, Reset, TimedOut };

    explicit Connection(int socket)
        : socket_(socket)
    {
        const int on = 1;
        setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    /// Connects to a port on the loopback address; isOpen() is false if that fails.
    static std::unique_ptr<Connection> open(int port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            ::close(socket);
            return nullptr;
        }
        return std::make_unique<Connection>(socket);
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void close()
    {
        const int socket = socket_.exchange(-1);
        if (socket >= 0)
            ::close(socket);
    }
    /// Ends reads and writes of other threads.
    void shutdown()
    {
        const int socket = socket_;
        if (socket >= 0)
            ::shutdown(socket, SHUT_RDWR);
    }
    bool write(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /// Reads one message. A response without a length ends with the connection.
    End read(Message& message, double seconds, bool isResponse)
    {
        const double deadline = now() + seconds;
        message = {};
        std::size_t headEnd = std::string::npos;
        while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
            const End end = fill(deadline);
            if (end != End::Complete)
                return end;
        }
        parseHead(message, buffer_.substr(0, headEnd));
        buffer_.erase(0, headEnd + 4);
        const std::string length = message.field("Content-Length");
        if (length.empty() && !isResponse)
            return End::Complete;
        const std::size_t wanted = length.empty() ? std::string::npos : std::stoull(length);
        while (buffer_.size() < wanted) {
            const End end = fill(deadline);
            if (end == End::Closed && length.empty())
                break;
            if (end != End::Complete)
                return end;
        }
        message.body = buffer_.substr(0, wanted);
        buffer_.erase(0, wanted);
        return End::Complete;
    }

private:
    End fill(double deadline)
    {
        pollfd waiting { socket_, POLLIN, 0 };
        const double left = deadline - now();
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0)
            return End::TimedOut;
        char bytes[16384];
        const ssize_t count = recv(socket_, bytes, sizeof bytes, 0);
        if (count < 0)
            return End::Reset;
        if (count == 0)
            return End::Closed;
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return End::Complete;
    }
    static void parseHead(Message& message, const std::string& head)
    {
        std::size_t begin = 0;
        while (begin < head.size()) {
            const std::size_t end = std::min(head.find("\r\n", begin), head.size());
            const std::string line = head.substr(begin, end - begin);
            begin = end + 2;
            const std::size_t colon = line.find(':');
            if (message.startLine.empty())
                message.startLine = line;
            else if (colon != std::string::npos)
                message.fields.emplace_back(
                    line.substr(0, colon), line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1))));
        }
    }

    std::atomic<int> socket_;
    std::string buffer_;
};

inline const char* toText(Connection::End end)
{
    switch (end) {
    case Connection::End::Complete:
        return "complete";
    case Connection::End::Closed:
        return "closed";
    case Connection::End::Reset:
        return "reset";
    case Connection::End::TimedOut:
        return "no answer in time";
    }
    return "";
}

/// Accepts connections on a free port and serves each in a thread of its own.
class Server {
public:
    /// Answers one request on the connection; false closes it.
    using Handler = std::function<bool(Connection&, const Message&)>;

    explicit Server(Handler handler)
        : handler_(std::move(handler))
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(listener_, 512) != 0
            || getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
            std::perror("listen");
            std::exit(kNotRun);
        }
        port_ = ntohs(address.sin_port);
        acceptor_ = std::thread([this] { accept(); });
    }
    ~Server()
    {
        isStopping_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (Client& client : clients_)
                client.connection->shutdown();
        }
        for (Client& client : clients_)
            client.thread.join();
    }
    int port() const { return port_; }

private:
    struct Client {
        std::unique_ptr<Connection> connection;
        std::thread thread;
        std::atomic<bool> isDone = false;
    };

    void accept()
    {
        while (!isStopping_) {
            const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            const std::lock_guard<std::mutex> lock(mutex_);
            clients_.remove_if([](Client& client) {
                const bool isDone = client.isDone;
                if (isDone)
                    client.thread.join();
                return isDone;
            });
            Client& client = clients_.emplace_back();
            client.connection = std::make_unique<Connection>(socket);
            client.thread = std::thread([this, &client] {
                serve(*client.connection);
                client.isDone = true;
            });
        }
    }
    void serve(Connection& connection)
    {
        Message request;
        while (!isStopping_ && connection.read(request, 600, false) == Connection::End::Complete) {
            if (!handler_(connection, request))
                break;
        }
        connection.shutdown();
        if (!isStopping_)
            connection.close();
    }

    Handler handler_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> isStopping_ = false;
    std::mutex mutex_;
    std::list<Client> clients_;
    std::thread acceptor_;
};

inline std::string response(const std::string& status, const std::string& body, const std::string& fields = "")
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

inline std::string toJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value fromJson(const std::string& text)
{
    Json::Value value;
    std::string errors;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    return value;
}

/// The platform's store: lists, watches, creates and replaces objects as PROTOCOL.md says.
class Store {
public:
    Store()
        : server_([this](Connection& connection, const Message& request) { return serve(connection, request); })
    {
    }
    ~Store()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isStopping_ = true;
        changed_.notify_all();
    }
    int port() const { return server_.port(); }
    void put(const std::string& kind, const std::string& name, const Json::Value& spec)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        write(kind, name, spec);
    }
    /// Adds an entry of another writer to a kind, as the bytes that a listing holds.
    void putForeign(const std::string& kind, const std::string& bytes)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        foreign_[kind] = bytes;
    }
    /// Spec of an object; null if there is none.
    Json::Value get(const std::string& kind, const std::string& name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = objects_[kind].find(name);
        return found == objects_[kind].end() ? Json::Value() : found->second["spec"];
    }
    std::atomic<bool> isDown = false; ///< Connections are closed without an answer.

private:
    static constexpr unsigned kPageSize = 500; ///< Objects in one page of a listing.

    struct Event {
        std::uint64_t revision;
        std::string kind;
        Json::Value object;
    };

    const Json::Value& write(const std::string& kind, const std::string& name, const Json::Value& spec)
    {
        Json::Value& object = objects_[kind][name];
        if (!object.isNull() && object["spec"] == spec)
            return object;
        ++revision_;
        Json::Value& metadata = object["metadata"];
        metadata["name"] = name;
        metadata["revision"] = Json::UInt64(revision_);
        if (!metadata.isMember("created"))
            metadata["created"] = Json::UInt64(revision_);
        metadata["finalizers"] = Json::Value(Json::arrayValue);
        metadata["deleting"] = false;
        object["spec"] = spec;
        object["status"] = Json::Value();
        events_.push_back({ revision_, kind, object });
        changed_.notify_all();
        return object;
    }
    static std::string queryValue(const std::string& query, const std::string& name)
    {
        std::size_t begin = ("&" + query).find("&" + name + "=");
        if (begin == std::string::npos)
            return "";
        begin += name.size() + 1;
        return query.substr(begin, query.find('&', begin) - begin);
    }
    bool serve(Connection& connection, const Message& request)
    {
        if (isDown)
            return false;
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string query = target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
        const std::string prefix = "/jackdawwall/objects/";
        if (path.compare(0, prefix.size(), prefix) != 0)
            return connection.write(response("404 Not Found", "{}"));
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name = rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
        return connection.write(answer(request, kind, name, query));
    }
    std::string answer(
        const Message& request, const std::string& kind, const std::string& name, const std::string& query)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const std::string json = "Content-Type: application/json\r\n";
        const auto reply = [&](const char* status, const Json::Value& body) {
            return response(status, toJson(body), json);
        };
        if (request.method() == "GET" && name.empty()) {
            const std::string watch = queryValue(query, "watch");
            Json::Value body(Json::objectValue);
            if (!watch.empty()) {
                body["events"] = waitForEvents(lock, kind, std::stoull(watch), std::atoi(queryValue(query, "wait_ms").c_str()));
            } else {
                body["items"] = Json::Value(Json::arrayValue);
                const auto& all = objects_[kind];
                auto next = all.upper_bound(queryValue(query, "after"));
                for (; next != all.end() && body["items"].size() < kPageSize; ++next)
                    body["items"].append(next->second);
                body["has_more"] = next != all.end();
            }
            body["at_rev"] = Json::UInt64(revision_);
            std::string text = toJson(body);
            const std::size_t items = text.find("\"items\":[");
            if (watch.empty() && foreign_.count(kind))
                text.insert(items + 9, foreign_[kind] + (objects_[kind].empty() ? "" : ","));
            return response("200 OK", text, json);
        }
        auto& objects = objects_[kind];
        if (request.method() == "GET")
            return objects.count(name) ? reply("200 OK", objects[name]) : reply("404 Not Found", Json::objectValue);
        const Json::Value body = fromJson(request.body);
        if (request.method() == "POST") {
            const std::string created = body["metadata"]["name"].asString();
            if (objects.count(created))
                return reply("409 Conflict", objects[created]);
            return reply("201 Created", write(kind, created, body["spec"]));
        }
        if (request.method() == "PUT") {
            if (!objects.count(name))
                return reply("404 Not Found", Json::objectValue);
            const Json::Value& revision = body["metadata"]["revision"];
            if (!revision.isNull() && revision.asUInt64() != objects[name]["metadata"]["revision"].asUInt64())
                return reply("409 Conflict", objects[name]);
            return reply("200 OK", write(kind, name, body["spec"]));
        }
        return reply("405 Method Not Allowed", Json::objectValue);
    }
    Json::Value waitForEvents(
        std::unique_lock<std::mutex>& lock, const std::string& kind, std::uint64_t after, int milliseconds)
    {
        Json::Value events(Json::arrayValue);
        const auto collect = [&] {
            for (const Event& event : events_) {
                if (event.revision <= after || event.kind != kind)
                    continue;
                Json::Value entry;
                entry["object"] = event.object;
                entry["deleted"] = false;
                events.append(entry);
            }
            return !events.empty() || isStopping_ || isDown;
        };
        changed_.wait_for(lock, std::chrono::milliseconds(milliseconds), collect);
        return events;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopping_ = false;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::map<std::string, Json::Value>> objects_;
    std::map<std::string, std::string> foreign_; ///< By kind.
    std::vector<Event> events_;
    Server server_;
};

struct Route {
    std::string name;
    std::string host;
    std::string prefix;
    std::string kind;
    std::vector<std::pair<std::string, double>> services; ///< With their weights.
    int attempts = 2;
    int timeoutMs = 3000;
};

/// A configuration as the operator writes it; the limits are those of the pages' example.
inline Json::Value configuration(int version, const std::vector<Route>& routes, const std::vector<std::string>& services)
{
    Json::Value config;
    config["version"] = version;
    config["routes"] = Json::Value(Json::arrayValue);
    for (const Route& route : routes) {
        Json::Value value;
        value["name"] = route.name;
        value["host"] = route.host;
        value["prefix"] = route.prefix;
        value["kind"] = route.kind;
        value["timeout_ms"] = route.timeoutMs;
        value["goal_ms"] = 1500;
        value["priority"] = 1;
        value["attempts"] = route.attempts;
        if (route.services.size() == 1)
            value["service"] = route.services.front().first;
        for (std::size_t index = 0; route.services.size() > 1 && index < route.services.size(); ++index) {
            Json::Value part;
            part["service"] = route.services[index].first;
            part["weight"] = route.services[index].second;
            value["split"].append(part);
        }
        config["routes"].append(value);
    }
    for (const std::string& service : services) {
        Json::Value value;
        value["name"] = service;
        value["health_path"] = "/health";
        value["max_conns"] = 316;
        value["protocol"] = "h1";
        value["tls"] = false;
        config["services"].append(value);
    }
    config["limits"]["max_header_bytes"] = 16384;
    config["limits"]["max_body_bytes"] = 67108864;
    config["limits"]["header_timeout_ms"] = 3000;
    config["limits"]["idle_timeout_ms"] = 15000;
    return config;
}

/// A port that nothing listens on, below the range from which the system takes ports of outgoing connections.
/// Each is returned once.
inline int freePort()
{
    constexpr int kFirst = 10000;
    constexpr int kLast = 32000;
    static std::mutex mutex;
    static int next = kFirst + static_cast<int>(std::random_device {}() % (kLast - kFirst));
    const std::lock_guard<std::mutex> lock(mutex);
    for (int tries = 0; tries < kLast - kFirst; ++tries) {
        next = next + 1 < kLast ? next + 1 : kFirst;
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(next);
        const bool isBound = bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(socket);
        if (isBound)
            return next;
    }
    return 0;
}

/// Where the case runs.
struct Place {
    std::string root; ///< The repository, with the build of the deploy file.
    std::string folder; ///< Temporary; for settings and the nodes' output.
    bool hasTrouble = true; ///< False with TROUBLE=0.
};

/// A node as a process of its own, started as the deploy file says.
class Node {
public:
    Node(const Place& place, std::string name, std::string service, int targetPort, int storePort)
        : place_(place)
        , name_(std::move(name))
        , service_(std::move(service))
        , targetPort_(targetPort)
        , storePort_(storePort)
    {
    }
    ~Node() { end(SIGKILL); }
    Node(const Node&) = delete;

    void start()
    {
        const std::string file = place_.folder + "/" + name_ + ".json";
        const auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        std::ofstream(file) << "{\"process\":\"" << name_ << "\",\"service\":\"" << service_
                            << "\",\"dataCentre\":\"regina\",\"callerAddress\":" << address(callerPort)
                            << ",\"peerAddress\":" << address(peerPort) << ",\"readyAddress\":" << address(readyPort)
                            << ",\"heartbeatAddress\":" << address(controlPort)
                            << ",\"operatorAddress\":" << address(operatorPort)
                            << ",\"targetAddress\":" << address(targetPort_)
                            << ",\"platformAddress\":" << address(storePort_)
                            << ",\"memoryMegabytes\":260,\"descriptors\":4100,\"stopSeconds\":6,\"repeatRatio\":0.2,"
                               "\"repeatExtra\":47,\"repeatWindowSeconds\":10}";
        pid_ = fork();
        if (pid_ != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const std::string log = place_.folder + "/" + name_ + ".log";
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        setenv("JACKDAWWALL_SETTINGS", file.c_str(), 1);
        setenv("JACKDAW_CONFIGURATION_APPLY_MS", "2000", 1);
        if (chdir(place_.root.c_str()) == 0)
            execl("target/bin/jackdawwall", "target/bin/jackdawwall", nullptr);
        _exit(127);
    }
    /// Sends a signal, and waits for the end after SIGKILL.
    void end(int signal)
    {
        if (pid_ <= 0 || !isRunning())
            return;
        kill(pid_, signal);
        if (signal == SIGKILL) {
            waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }
    /// False once the process has ended; sets status then.
    bool isRunning()
    {
        if (pid_ <= 0)
            return false;
        if (waitpid(pid_, &status, WNOHANG) == 0)
            return true;
        pid_ = 0;
        return false;
    }
    bool isReady() const
    {
        const auto connection = Connection::open(readyPort);
        Message reply;
        return connection && connection->write("GET /jackdawwall/ready HTTP/1.1\r\nHost: node\r\n\r\n")
            && connection->read(reply, 1, true) == Connection::End::Complete && reply.status() == 200;
    }
    const std::string& name() const { return name_; }
    const std::string& service() const { return service_; }
    pid_t pid() const { return pid_; }

    const int callerPort = freePort();
    const int peerPort = freePort();
    const int readyPort = freePort();
    const int controlPort = freePort();
    const int operatorPort = freePort();
    int status = 0;

private:
    const Place& place_;
    std::string name_;
    std::string service_;
    int targetPort_;
    int storePort_;
    pid_t pid_ = 0;
};

/// A backend: checks in at its node and answers requests.
class Backend {
public:
    /// Answers a request in its own way and returns true, or returns false for the usual answer.
    using Special = std::function<bool(Connection&, const Message&)>;

    Backend(Record& record, std::string service, std::string id)
        : record_(record)
        , service_(std::move(service))
        , id_(std::move(id))
        , server_([this](Connection& connection, const Message& request) { return serve(connection, request); })
    {
    }
    ~Backend() { stopHeartbeats(); }

    int port() const { return server_.port(); }
    const std::string& id() const { return id_; }
    void startHeartbeats(int controlPort)
    {
        heartbeats_ = std::thread([this, controlPort] {
            while (!isStopping_) {
                checkIn(controlPort, "ready");
                for (int step = 0; step < 15 && !isStopping_; ++step)
                    sleepFor(0.1);
            }
        });
    }
    void stopHeartbeats()
    {
        isStopping_ = true;
        if (heartbeats_.joinable())
            heartbeats_.join();
    }
    /// One check-in; true if it was acknowledged.
    bool checkIn(int controlPort, const std::string& state)
    {
        Json::Value body;
        body["service"] = service_;
        body["address"] = "127.0.0.1:" + std::to_string(port());
        body["zone"] = "regina";
        body["version"] = "v1";
        body["capacity"] = 36;
        body["state"] = state;
        body["cold_left_ms"] = 0;
        body["sequence"] = ++sequence_;
        body["born"] = Json::UInt64(born_);
        return post(controlPort, "instances.heartbeat", toJson(body));
    }
    std::string usualAnswer(const Message& request, const std::string& body) const
    {
        return response("200 OK", body,
            "Attempt-Id: " + request.field("Attempt-Id") + "\r\nResponse-Seal: " + seal(body)
                + "\r\nKeep-Alive: timeout=10\r\n");
    }
    static std::string seal(const std::string& body)
    {
        return "3e1b.07.5a2." + std::to_string(std::hash<std::string> {}(body));
    }
    std::string bodyFor(const Message& request) const { return id_ + " " + request.field("Attempt-Id"); }

    Special special;
    std::atomic<int> runs = 0; ///< Requests that were run.
    std::atomic<double> workSeconds = 0.02;

private:
    bool post(int controlPort, const std::string& call, const std::string& body)
    {
        const auto connection = Connection::open(controlPort);
        Message reply;
        return connection
            && connection->write("POST /jackdawwall/rpc?call=" + call + "&of=" + id_
                + " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body)
            && connection->read(reply, 1, true) == Connection::End::Complete && reply.status() / 100 == 2;
    }
    bool serve(Connection& connection, const Message& request)
    {
        if (request.target() == "/health")
            return connection.write(response("200 OK", "", "Instance-Id: " + id_ + "\r\n"));
        const std::string expected = request.field("Expect-Instance");
        if (!expected.empty() && expected != id_)
            return connection.write(response("421 Misdirected Request", "",
                "Instance-Id: " + id_ + "\r\nAttempt-Id: " + request.field("Attempt-Id") + "\r\n"));
        ++runs;
        record_.line("run      %s at %s: %s, %zu bytes", request.field("Attempt-Id").c_str(), id_.c_str(),
            request.startLine.c_str(), request.body.size());
        if (special && special(connection, request))
            return false;
        sleepFor(workSeconds);
        return connection.write(usualAnswer(request, bodyFor(request)));
    }

    Record& record_;
    std::string service_;
    std::string id_;
    std::uint64_t born_ = unixMilliseconds();
    int sequence_ = 0;
    std::atomic<bool> isStopping_ = false;
    std::thread heartbeats_;
    Server server_;
};

inline std::string request(const std::string& method, const std::string& host, const std::string& path,
    const std::string& id, const std::string& body = "", int deadlineMs = 3000, const std::string& fields = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + fields
        + (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

/// Waits until all nodes are ready and `isServed` holds; false after 20 s.
inline bool awaitServing(const std::vector<Node*>& nodes, const std::function<bool()>& isServed)
{
    const double limit = now() + 20;
    while (now() < limit) {
        bool areReady = true;
        for (const Node* node : nodes)
            areReady = areReady && node->isReady();
        if (areReady && isServed())
            return true;
        sleepFor(0.2);
    }
    return false;
}

/// Status of one request on a connection of its own; 0 without a complete answer.
inline int ask(int callerPort, const std::string& bytes, double seconds = 4)
{
    const auto connection = Connection::open(callerPort);
    Message reply;
    if (!connection || !connection->write(bytes)
        || connection->read(reply, seconds, true) != Connection::End::Complete)
        return 0;
    return reply.status();
}

/// Arguments of each case: the repository, a temporary folder, the record.
inline int runCase(int count, char** arguments, const std::function<int(const Place&, Record&)>& run)
{
    if (count != 4)
        return kNotRun;
    signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    const Place place { arguments[1], arguments[2], trouble == nullptr || std::string(trouble) != "0" };
    Record record(arguments[3]);
    record.line("disruption: %s", place.hasTrouble ? "yes" : "no (TROUBLE=0)");
    const int result = run(place, record);
    record.line("result %d: %s", result,
        result == kPassed ? "the rule held" : result == kBroken ? "the rule was broken" : "the case could not run");
    return result;
}

} // namespace stand
