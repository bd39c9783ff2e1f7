// standin-target: a small stand-in for a target. It simulates work slots, cold start, straggling,
// cancellation and deadlines, calls the next service, and records every execution by request id.
#include "adapter/connection-pool.h"
#include "adapter/http-server.h"
#include "main/command-line.h"
#include "node/call-headers.h"
#include "standin/slots.h"

#include "absl/container/btree_map.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"

#include <poll.h>
#include <sys/socket.h>
#include <tclap/CmdLine.h>

#include <atomic>
#include <iostream>
#include <thread>

namespace jackdawwall::standin {
namespace {

constexpr absl::Duration kLoadReportDelay = absl::Seconds(5);

struct TargetOptions {
    std::string service;
    int slots = 10;
    int connections = 300;
    int serviceMs = 10;
    int coldStartMs = 0; ///< Service times are four times as long for this time after the start.
    std::vector<std::string> kindTimes; ///< "KIND:MS": service time of one kind.
    std::string nextService; ///< Called for each request; empty: none.
    std::vector<std::string> nextServiceAddresses; ///< Addresses of its targets, for use without a node.
    int directRetries = 3;
};

/// Executions by request id, and totals by result.
struct ExecutionRecord {
    absl::Mutex mutex;
    absl::btree_map<std::string, int> started;
    std::uint64_t startedCount = 0;
    std::uint64_t completedCount = 0;
    std::uint64_t cancelledCount = 0;
};

struct Target {
    TargetOptions options;
    Slots slots;
    ExecutionRecord executionRecord;
    ConnectionPool pool;
    absl::btree_map<std::string, int> kindMs;
    absl::Time startedAt = absl::Now();
    std::atomic<int> straggleFactor { 1 };
    std::atomic<bool> isDraining { false };
    std::atomic<unsigned> nextAddressIndex { 0 };
    std::atomic<int> reportedLoad { 0 }; ///< Waiting calls, as of `kLoadReportDelay` ago.
};

HttpReply textReply(int status, std::string body)
{
    HttpReply reply;
    reply.status = status;
    reply.body = std::move(body);
    return reply;
}

HttpReply notRunReply()
{
    HttpReply reply = textReply(503, "not-run\n");
    reply.headers.push_back({ kOutcomeHeader, "not-run" });
    return reply;
}

absl::Time parseDeadline(const HttpRequestHead& head)
{
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(findHeader(head.headers, kDeadlineHeader), &milliseconds))
        milliseconds = 60'000;
    return absl::Now() + absl::Milliseconds(milliseconds);
}

absl::Duration serviceTime(const Target& target, const HttpRequestHead& head)
{
    const auto found = target.kindMs.find(findHeader(head.headers, kKindHeader));
    int milliseconds = found == target.kindMs.end() ? target.options.serviceMs : found->second;
    if (absl::Now() - target.startedAt < absl::Milliseconds(target.options.coldStartMs))
        milliseconds *= 4;
    return absl::Milliseconds(milliseconds * target.straggleFactor);
}

/// Simulates work for `time`; returns false early when the caller closes its connection.
bool simulateWork(int callerSocket, absl::Duration time)
{
    const absl::Time end = absl::Now() + time;
    while (absl::Now() < end) {
        pollfd watched { callerSocket, POLLRDHUP, 0 };
        const absl::Duration remaining = absl::Ceil(end - absl::Now(), absl::Milliseconds(1));
        if (poll(&watched, 1, static_cast<int>(absl::ToInt64Milliseconds(remaining))) > 0)
            return false;
    }
    return true;
}

void recordStart(Target& target, const std::string& requestId)
{
    const absl::MutexLock lock(&target.executionRecord.mutex);
    ++target.executionRecord.started[requestId];
    ++target.executionRecord.startedCount;
}

ExchangeRequest makeDownstreamRequest(const HttpRequest& request, absl::Time deadline)
{
    ExchangeRequest downstream;
    downstream.method = "POST";
    downstream.deadline = deadline;
    const std::int64_t remaining = absl::ToInt64Milliseconds(deadline - absl::Now());
    downstream.headers.push_back({ kDeadlineHeader, absl::StrCat(std::max<std::int64_t>(1, remaining)) });
    downstream.headers.push_back({ kKindHeader, std::string(findHeader(request.head.headers, kKindHeader)) });
    downstream.watchedSocket = request.head.socket;
    return downstream;
}

bool callThroughNode(Target& target, const HttpRequest& request, absl::Time deadline, const std::string& node)
{
    ExchangeRequest downstream = makeDownstreamRequest(request, deadline);
    downstream.url = absl::StrCat("http://", node, "/next");
    downstream.headers.push_back({ kServiceHeader, target.options.nextService });
    downstream.headers.push_back(
        { kParentHeader, std::string(findHeader(request.head.headers, kParentHeader)) });
    const absl::StatusOr<HttpResponse> response = fetch(target.pool, node, downstream, kResponseBufferBytes);
    return response.ok() && response->status == 200;
}

bool callDirectly(Target& target, const HttpRequest& request, absl::Time deadline)
{
    const auto& addresses = target.options.nextServiceAddresses;
    for (int attempt = 0; attempt <= target.options.directRetries && absl::Now() < deadline; ++attempt) {
        const std::string& address = addresses[target.nextAddressIndex++ % addresses.size()];
        ExchangeRequest downstream = makeDownstreamRequest(request, deadline);
        downstream.url = absl::StrCat("http://", address, "/next");
        downstream.headers.push_back(
            { kRequestIdHeader, std::string(findHeader(request.head.headers, kRequestIdHeader)) });
        const absl::StatusOr<HttpResponse> response
            = fetch(target.pool, address, downstream, kResponseBufferBytes);
        if (response.ok() && response->status == 200)
            return true;
    }
    return false;
}

bool callNextService(Target& target, const HttpRequest& request, absl::Time deadline)
{
    if (target.options.nextService.empty())
        return true;
    const std::string node(findHeader(request.head.headers, kNodeHeader));
    if (!node.empty())
        return callThroughNode(target, request, deadline, node);
    return target.options.nextServiceAddresses.empty() || callDirectly(target, request, deadline);
}

std::string responseBody(const Target& target, const HttpRequest& request)
{
    const absl::string_view id = findHeader(request.head.headers, kRequestIdHeader);
    std::uint64_t bytes = 0;
    const bool isSized = absl::SimpleAtoi(queryValue(request.head.target, "answer-bytes"), &bytes);
    std::string body = absl::StrCat(
        "id=", id, " service=", target.options.service, " received=", request.body.size(), "\n");
    if (isSized && bytes > body.size())
        body.resize(bytes, '.');
    return body;
}

HttpReply serveCall(Target& target, const HttpRequest& request)
{
    if (target.isDraining)
        return notRunReply();
    const absl::Time deadline = parseDeadline(request.head);
    if (!target.slots.acquire(deadline))
        return notRunReply();
    const std::string requestId(findHeader(request.head.headers, kRequestIdHeader));
    recordStart(target, requestId);
    const bool isCompleted = simulateWork(request.head.socket, serviceTime(target, request.head));
    const bool isSuccessful = isCompleted && callNextService(target, request, deadline);
    target.slots.release();
    const absl::MutexLock lock(&target.executionRecord.mutex);
    ++(isCompleted ? target.executionRecord.completedCount : target.executionRecord.cancelledCount);
    return isSuccessful ? textReply(200, responseBody(target, request))
                        : textReply(502, "a call further on failed\n");
}

std::string executions(Target& target)
{
    std::string text;
    const absl::MutexLock lock(&target.executionRecord.mutex);
    for (const auto& [requestId, count] : target.executionRecord.started)
        absl::StrAppend(&text, requestId, " ", count, "\n");
    return text;
}

HttpReply handleControl(Target& target, const HttpRequest& request)
{
    const std::string& path = request.head.path;
    const std::string value = queryValue(request.head.target, "value");
    int factor = 0;
    if (path == "/control/straggle" && absl::SimpleAtoi(value, &factor)) {
        target.straggleFactor = factor;
        return textReply(200, "");
    }
    if (path == "/control/drain") {
        target.isDraining = true;
        return textReply(200, "");
    }
    if (path == "/control/executions")
        return textReply(200, executions(target));
    if (path == "/control/load")
        return textReply(200, absl::StrCat("waiting=", target.reportedLoad.load(), "\n"));
    if (path == "/control/stats") {
        const absl::MutexLock lock(&target.executionRecord.mutex);
        return textReply(200,
            absl::StrCat("started=", target.executionRecord.startedCount,
                " completed=", target.executionRecord.completedCount,
                " cancelled=", target.executionRecord.cancelledCount, "\n"));
    }
    return textReply(404, "no such control\n");
}

HttpReply handleRequest(Target& target, const HttpRequest& request)
{
    if (request.head.path.rfind("/control/", 0) == 0)
        return handleControl(target, request);
    return serveCall(target, request);
}

/// Counts the bytes of a body without buffering it.
class TargetSession : public HttpSession {
public:
    TargetSession(Target& target, HttpRequestHead head)
        : target_(target)
        , request_ { std::move(head), "" }
    {
    }
    std::unique_ptr<HttpReply> begin() override { return nullptr; }
    void body(absl::Span<const char> part) override { bytes_ += part.size(); }
    HttpReply finish() override
    {
        HttpReply reply = handleRequest(target_, request_);
        reply.headers.push_back({ "Received-Bytes", absl::StrCat(bytes_) });
        return reply;
    }

private:
    Target& target_;
    HttpRequest request_;
    std::size_t bytes_ = 0;
};

void reportDelayedLoad(Target& target, const std::atomic<bool>& isStopping)
{
    while (!isStopping) {
        const int waiting = target.slots.waiting();
        for (absl::Time end = absl::Now() + kLoadReportDelay; absl::Now() < end && !isStopping;)
            absl::SleepFor(absl::Milliseconds(100));
        target.reportedLoad = waiting;
    }
}

int runTarget(const std::string& address, TargetOptions options)
{
    const sigset_t signals = blockStopSignals();
    const int slots = options.slots;
    Target target { std::move(options), Slots(slots), {}, {}, {} };
    for (const std::string& item : target.options.kindTimes) {
        const std::pair<std::string, std::string> pair = absl::StrSplit(item, absl::MaxSplits(':', 1));
        if (!absl::SimpleAtoi(pair.second, &target.kindMs[pair.first]))
            throw std::invalid_argument(absl::StrCat("expected KIND:MS, got: ", item));
    }
    HttpServerOptions server;
    server.address = address;
    server.connectionLimit = static_cast<unsigned>(target.options.connections);
    server.idleTimeout = absl::Seconds(60);
    auto port = HttpServer::start(server,
        [&target](HttpRequestHead head) { return std::make_unique<TargetSession>(target, std::move(head)); });
    if (!port.ok()) {
        std::cerr << port.status() << "\n";
        return kExitFailed;
    }
    std::atomic<bool> isStopping { false };
    std::thread reporter([&] { reportDelayedLoad(target, isStopping); });
    std::cout << "ready address=" << (*port)->address() << std::endl;
    awaitStopSignal(signals);
    isStopping = true;
    reporter.join();
    return kExitOk;
}

} // namespace
} // namespace jackdawwall::standin

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] {
        TCLAP::CmdLine line("Stand-in for a target.", ' ', kProgramVersion);
        TCLAP::ValueArg<std::string> address("a", "address", "", false, "127.0.0.1:0", "IP:PORT", line);
        TCLAP::ValueArg<std::string> service("n", "service", "", true, "", "NAME", line);
        TCLAP::ValueArg<int> slots("l", "slots", "", false, 10, "N", line);
        TCLAP::ValueArg<int> connections("x", "connections", "", false, 300, "N", line);
        TCLAP::ValueArg<int> serviceMs("t", "service-ms", "", false, 10, "MS", line);
        TCLAP::ValueArg<int> coldMs("d", "cold-start-ms", "", false, 0, "MS", line);
        TCLAP::MultiArg<std::string> kinds("k", "kind", "Service time of one kind", false, "KIND:MS", line);
        TCLAP::ValueArg<std::string> next("m", "next-service", "", false, "", "NAME", line);
        TCLAP::MultiArg<std::string> direct("i", "next-direct", "", false, "IP:PORT", line);
        line.parse(argc, argv);
        standin::TargetOptions options;
        options.service = service.getValue();
        options.slots = slots.getValue();
        options.connections = connections.getValue();
        options.serviceMs = serviceMs.getValue();
        options.coldStartMs = coldMs.getValue();
        options.kindTimes = kinds.getValue();
        options.nextService = next.getValue();
        options.nextServiceAddresses = direct.getValue();
        return standin::runTarget(address.getValue(), std::move(options));
    });
}
