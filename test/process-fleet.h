/// Fixture for a fleet of real processes: `jackdawwall` nodes, each beside a target on the test's event loop,
/// with a store and callers that keep a constant rate whatever the responses are.
#pragma once

#include "child-process.h"
#include "store-fixture.h"
#include "wire-names.h"

#include "absl/time/clock.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace jackdawwall::relay::test {

/// A target whose responses carry headers that the test sets.
class FleetTarget {
public:
    FleetTarget(asio::io_context& loop, std::string name)
        : name_(std::move(name))
        , loop_(loop)
        , server_(loop, ScriptedTarget::AsyncScript([this](const Request& request, auto done) {
            onRequest(request, done);
        }))
    {
    }

    std::string address() const { return server_.address(); }
    const std::string& name() const { return name_; }

    /// Sent with each response, for example "Name: value\r\n".
    std::string headers;
    bool resetsConnections = false; ///< In place of each response.
    std::uint64_t startedAt = absl::ToUnixMillis(absl::Now());
    std::uint64_t heartbeats = 0;
    std::vector<absl::Time> arrivals;

    /// Requests that arrived since `from`.
    int arrivalsSince(absl::Time from) const
    {
        return static_cast<int>(std::count_if(
            arrivals.begin(), arrivals.end(), [&](absl::Time arrival) { return arrival >= from; }));
    }

    /// Most requests that arrived within any window of this length since `from`.
    int peakArrivals(absl::Time from, absl::Duration window) const
    {
        int peak = 0;
        auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
        for (auto last = first; last != arrivals.end(); ++last) {
            while (*last - *first >= window)
                ++first;
            peak = std::max(peak, static_cast<int>(last - first) + 1);
        }
        return peak;
    }

private:
    static constexpr auto kWorkTime = std::chrono::milliseconds(30);

    void onRequest(const Request& request, const std::function<void(TargetResponse)>& done)
    {
        arrivals.push_back(steadyNow());
        const HeaderNames names = platform::headerNames();
        TargetResponse response { absl::StrCat("HTTP/1.1 200 OK\r\n", headers, names.seal, ": s\r\n",
            names.requestId, ": ", headerValue(request, names.requestId),
            "\r\nContent-Length: 2\r\n\r\nok") };
        if (resetsConnections)
            response = { "", true, true };
        auto timer = std::make_shared<asio::steady_timer>(loop_, kWorkTime);
        timer->async_wait([timer, done, response](beast::error_code) { done(response); });
    }

    std::string name_;
    asio::io_context& loop_;
    ScriptedTarget server_;
};

/// How the callers' requests ended.
struct CallerRecord {
    std::map<unsigned, int> byStatus; ///< 0: without a response.
    int withoutRetryAfter = 0; ///< Refusals that don't say when to return.
    absl::Duration longestRefusal; ///< Longest time until a refusal.
};

class ProcessFleet {
public:
    /// Starts one node for each name of a service, and waits until calls to "books" are answered.
    explicit ProcessFleet(const std::vector<std::string>& services)
        : store(loop)
        , reserved_(loop)
        , clients_(loop)
        , callTimer_(loop)
        , heartbeatTimer_(loop)
        , folder_(std::filesystem::temp_directory_path() / absl::StrCat("fleet-", getpid()))
    {
        std::filesystem::create_directories(folder_);
        store.set(platform::kConfigurationKind, platform::kConfigurationName,
            absl::StrCat(R"({"version":5,"routes":[)",
                R"({"name":"read","host":"a.example","prefix":"/read/","service":"books","kind":"safe",)",
                R"("timeout_ms":5000,"goal_ms":1000,"attempts":3,"priority":1}]})"));
        for (const std::string& service : services) {
            const std::string name = absl::StrCat("n", nodes_.size());
            targets.push_back(std::make_unique<FleetTarget>(loop, absl::StrCat("t", nodes_.size())));
            nodes_.push_back({ name, service, reserved_.add(), reserved_.add(), nullptr });
            writeSettings(nodes_.back(), targets.back()->address());
        }
        for (std::size_t node = 0; node < nodes_.size(); ++node)
            start(node);
        sendHeartbeats();
        awaitAnswers();
    }

    ~ProcessFleet()
    {
        nodes_.clear();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    ProcessFleet(const ProcessFleet&) = delete;
    ProcessFleet& operator=(const ProcessFleet&) = delete;

    asio::io_context loop;
    HttpStore store;
    std::vector<std::unique_ptr<FleetTarget>> targets;
    CallerRecord record;

    void start(std::size_t node)
    {
        Node& started = nodes_.at(node);
        started.process = std::make_unique<ChildProcess>(
            std::vector<std::string> { absl::StrCat(JACKDAW_BIN, "/jackdawwall"), settingsPath(started) },
            folder_ / absl::StrCat(started.name, "-", ++starts_, ".log"));
    }

    /// Ends a node by SIGKILL and starts it again.
    void restart(std::size_t node)
    {
        nodes_.at(node).process.reset();
        start(node);
    }

    void signal(std::size_t node, int number) { nodes_.at(node).process->signal(number); }

    bool hasExited(std::size_t node) const { return nodes_.at(node).process->hasExited(); }

    /// Runs the fleet with `callsPerSecond` calls, spread evenly over all nodes.
    void run(absl::Duration time, double callsPerSecond)
    {
        interval_ = absl::Seconds(1 / callsPerSecond);
        nextCallAt_ = steadyNow();
        isCalling_ = true;
        scheduleCall();
        runLoop(time);
        isCalling_ = false;
        callTimer_.cancel();
    }

    /// Waits for the responses to all calls.
    void awaitResponses()
    {
        runUntil(loop, [&] { return pendingCalls_ == 0; });
    }

private:
    struct Node {
        std::string name;
        std::string service;
        std::string callerAddress;
        std::string heartbeatAddress;
        std::unique_ptr<ChildProcess> process;
    };

    std::string settingsPath(const Node& node) const { return folder_ / absl::StrCat(node.name, ".json"); }

    void writeSettings(const Node& node, const std::string& targetAddress)
    {
        Json::Value value;
        value["process"] = node.name;
        value["service"] = node.service;
        value["dataCentre"] = "here";
        value["callerAddress"] = node.callerAddress;
        value["peerAddress"] = reserved_.add();
        value["heartbeatAddress"] = node.heartbeatAddress;
        value["readyAddress"] = kAnyAddress;
        value["operatorAddress"] = kAnyAddress;
        value["targetAddress"] = targetAddress;
        value["platformAddress"] = store.address();
        value["repeatRatio"] = 0.2;
        value["repeatExtra"] = 50;
        value["repeatWindowSeconds"] = 10;
        std::ofstream(settingsPath(node)) << canonicalJson(value);
    }

    void runLoop(absl::Duration time)
    {
        const absl::Time end = steadyNow() + time;
        while (steadyNow() < end) {
            loop.restart();
            loop.run_one_for(std::chrono::milliseconds(20));
        }
    }

    void sendHeartbeats()
    {
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
            FleetTarget& target = *targets[node];
            Request request { http::verb::post, absl::StrCat("/?", platform::kHeartbeatQuery, target.name()),
                11 };
            request.body() = absl::StrCat(R"({"born":)", target.startedAt, R"(,"state":"ready","sequence":)",
                ++target.heartbeats, R"(,"capacity":20,"cold_left_ms":0,"zone":"here","version":"1",)",
                R"("service":")", nodes_[node].service, R"(","address":")", target.address(), "\"}");
            send(nodes_[node].heartbeatAddress, std::move(request), [](const ExchangeResult&) {});
        }
        heartbeatTimer_.expires_after(kHeartbeatInterval);
        heartbeatTimer_.async_wait([this](beast::error_code error) {
            if (!error)
                sendHeartbeats();
        });
    }

    void scheduleCall()
    {
        callTimer_.expires_after(
            absl::ToChronoMicroseconds(std::max(absl::ZeroDuration(), nextCallAt_ - steadyNow())));
        callTimer_.async_wait([this](beast::error_code error) {
            if (error || !isCalling_)
                return;
            nextCallAt_ = std::max(nextCallAt_ + interval_, steadyNow() - interval_);
            call(nextNode_++ % nodes_.size(), [](const ExchangeResult&) {});
            scheduleCall();
        });
    }

    void call(std::size_t node, std::function<void(const ExchangeResult&)> done)
    {
        const HeaderNames names = platform::headerNames();
        Request request { http::verb::get, "/read/1", 11 };
        request.set(http::field::host, "a.example");
        setHeader(request, names.requestId, absl::StrCat("r", ++calls_));
        setHeader(request, names.remainingTime, "5000");
        ++pendingCalls_;
        send(nodes_.at(node).callerAddress, std::move(request),
            [this, sentAt = steadyNow(), done = std::move(done)](const ExchangeResult& result) {
                --pendingCalls_;
                const bool isComplete = result.status == ExchangeStatus::Complete;
                const unsigned status = isComplete ? result.response.result_int() : 0;
                ++record.byStatus[status];
                if (status == 503) {
                    record.withoutRetryAfter += result.response.count(http::field::retry_after) == 0 ? 1 : 0;
                    record.longestRefusal = std::max(record.longestRefusal, steadyNow() - sentAt);
                }
                done(result);
            });
    }

    void send(const std::string& address, Request request, ExchangeCallback done)
    {
        request.prepare_payload();
        ExchangeRequest exchange;
        exchange.bytes = serializeRequest(request);
        clients_.sendWithTimeout(
            parseEndpoint(address), std::move(exchange), absl::Seconds(6), std::move(done));
    }

    /// Waits until every node answers a call, and every target that is called has answered one.
    void awaitAnswers()
    {
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
            bool isAnswered = false;
            bool isPending = false;
            runUntil(loop, [&] {
                if (!isPending && !isAnswered) {
                    isPending = true;
                    call(node, [&](const ExchangeResult& result) {
                        isPending = false;
                        isAnswered = result.response.result_int() == 200;
                    });
                }
                return isAnswered;
            });
        }
        const auto isUsed = [&](std::size_t node) {
            return nodes_[node].service != "books" || !targets[node]->arrivals.empty();
        };
        runUntil(loop, [&] {
            run(absl::Milliseconds(100), 100);
            for (std::size_t node = 0; node < nodes_.size(); ++node) {
                if (!isUsed(node))
                    return false;
            }
            return true;
        });
        awaitResponses();
        record = {};
    }

    static constexpr auto kHeartbeatInterval = std::chrono::milliseconds(500);

    ReservedAddresses reserved_;
    UpstreamPool clients_;
    asio::steady_timer callTimer_;
    asio::steady_timer heartbeatTimer_;
    std::filesystem::path folder_;
    std::vector<Node> nodes_;
    absl::Duration interval_;
    absl::Time nextCallAt_;
    bool isCalling_ = false;
    std::size_t nextNode_ = 0;
    int calls_ = 0;
    int pendingCalls_ = 0;
    int starts_ = 0;
};

} // namespace jackdawwall::relay::test
