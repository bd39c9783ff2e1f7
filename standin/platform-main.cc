// standin-platform: a small stand-in for the platform's object API (docs/PLATFORM-API.md) with fault
// injection.
#include "adapter/http-server.h"
#include "adapter/json-reader.h"
#include "main/command-line.h"
#include "standin/object-store.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"

#include <tclap/CmdLine.h>

#include <atomic>
#include <iostream>

namespace jackdawwall::standin {
namespace {

constexpr std::size_t kMaxValueBytes = 1U << 20;
constexpr std::size_t kMaxListedObjects = 1000;

/// Injected faults, set by the /fault control path.
struct Faults {
    std::atomic<bool> isDown { false };
    std::atomic<int> slowMs { 0 };
    std::atomic<int> responsesToDrop { 0 }; ///< Responses dropped after the write took effect.
};

struct Counters {
    std::atomic<std::uint64_t> reads { 0 };
    std::atomic<std::uint64_t> writes { 0 };
    std::atomic<std::uint64_t> watches { 0 };
    std::atomic<std::uint64_t> refused { 0 };
};

/// Limits the number of calls in each second of wall-clock time.
class RateLimiter {
public:
    explicit RateLimiter(int perSecond)
        : perSecond_(perSecond)
    {
    }

    bool tryAcquire()
    {
        const absl::MutexLock lock(&mutex_);
        const std::int64_t second = absl::ToUnixSeconds(absl::Now());
        if (second != second_) {
            second_ = second;
            used_ = 0;
        }
        return ++used_ <= perSecond_;
    }

private:
    absl::Mutex mutex_;
    const int perSecond_;
    std::int64_t second_ = 0;
    int used_ = 0;
};

struct PlatformStandin {
    ObjectStore store;
    Faults faults;
    Counters counters;
    RateLimiter readLimiter;
    RateLimiter writeLimiter;
};

HttpReply textReply(int status, std::string body)
{
    HttpReply reply;
    reply.status = status;
    reply.body = std::move(body);
    return reply;
}

HttpReply toReply(const absl::Status& status)
{
    if (status.ok())
        return textReply(200, "");
    return textReply(absl::IsAborted(status) ? 409 : 404, absl::StrCat(status.message(), "\n"));
}

HttpReply toReply(const absl::StatusOr<Object>& object)
{
    if (!object.ok())
        return toReply(object.status());
    HttpReply reply = textReply(200, object->value);
    reply.headers.push_back({ "Version", absl::StrCat(object->version) });
    return reply;
}

std::uint64_t queryNumber(const HttpRequest& request, absl::string_view name)
{
    std::uint64_t number = 0;
    return absl::SimpleAtoi(queryValue(request.head.target, name), &number) ? number : 0;
}

/// Drops the response to a write by aborting the connection.
HttpReply droppedReply()
{
    HttpReply reply;
    reply.stream = [](absl::Span<char>) -> std::ptrdiff_t { return -1; };
    return reply;
}

HttpReply applyWriteFault(PlatformStandin& platform, HttpReply reply)
{
    if (platform.faults.responsesToDrop <= 0)
        return reply;
    --platform.faults.responsesToDrop;
    return droppedReply();
}

HttpReply put(PlatformStandin& platform, const std::string& key, const HttpRequest& request)
{
    const absl::StatusOr<std::uint64_t> written
        = platform.store.write(key, request.body, queryNumber(request, "if-version"));
    if (!written.ok())
        return toReply(written.status());
    HttpReply reply = textReply(200, "");
    reply.headers.push_back({ "Version", absl::StrCat(*written) });
    return applyWriteFault(platform, std::move(reply));
}

HttpReply list(const PlatformStandin& platform, const HttpRequest& request)
{
    Json::Value array(Json::arrayValue);
    const std::string prefix = queryValue(request.head.target, "prefix");
    const std::string afterKey = queryValue(request.head.target, "after-key");
    for (const Object& object : platform.store.list(prefix, afterKey, kMaxListedObjects)) {
        Json::Value item(Json::objectValue);
        item["key"] = object.key;
        item["value"] = object.value;
        item["version"] = Json::UInt64(object.version);
        array.append(item);
    }
    return textReply(200, canonicalJson(array));
}

/// Counts a call and checks it against its rate limit; false when it must be refused.
bool admitCall(PlatformStandin& platform, bool isWrite, bool isWatch)
{
    ++(isWrite ? platform.counters.writes : isWatch ? platform.counters.watches : platform.counters.reads);
    if ((isWrite ? platform.writeLimiter : platform.readLimiter).tryAcquire())
        return true;
    ++platform.counters.refused;
    return false;
}

HttpReply handleApiRequest(PlatformStandin& platform, const HttpRequest& request)
{
    if (platform.faults.slowMs > 0)
        absl::SleepFor(absl::Milliseconds(platform.faults.slowMs.load()));
    if (platform.faults.isDown)
        return textReply(503, "down\n");
    const std::string& path = request.head.path;
    const bool isWatch = absl::StartsWith(path, "/v1/watch/");
    const bool isWrite = request.head.method != "GET";
    if (!admitCall(platform, isWrite, isWatch))
        return textReply(429, "over the call rate\n");
    if (path == "/v1/list")
        return list(platform, request);
    if (isWatch)
        return toReply(platform.store.watch(path.substr(sizeof("/v1/watch/") - 1),
            queryNumber(request, "after"), absl::Milliseconds(queryNumber(request, "timeout-ms"))));
    if (!absl::StartsWith(path, "/v1/objects/"))
        return textReply(404, "no such call\n");
    const std::string key = path.substr(sizeof("/v1/objects/") - 1);
    if (request.head.method == "PUT")
        return put(platform, key, request);
    if (request.head.method == "DELETE")
        return applyWriteFault(
            platform, toReply(platform.store.remove(key, queryNumber(request, "if-version"))));
    return toReply(platform.store.read(key));
}

HttpReply handleControlRequest(PlatformStandin& platform, const HttpRequest& request)
{
    const std::string& path = request.head.path;
    if (path == "/fault") {
        platform.faults.isDown = queryValue(request.head.target, "down") == "1";
        platform.faults.slowMs = static_cast<int>(queryNumber(request, "slow-ms"));
        platform.faults.responsesToDrop = static_cast<int>(queryNumber(request, "lose"));
        return textReply(200, "");
    }
    if (path == "/stats")
        return textReply(200,
            absl::StrCat("reads=", platform.counters.reads.load(),
                " writes=", platform.counters.writes.load(), " watches=", platform.counters.watches.load(),
                " refused=", platform.counters.refused.load(), "\n"));
    return textReply(404, "try /fault or /stats\n");
}

absl::StatusOr<std::unique_ptr<HttpServer>> serve(
    const std::string& address, std::function<HttpReply(const HttpRequest&)> handler)
{
    HttpServerOptions options;
    options.address = address;
    options.idleTimeout = absl::Seconds(60);
    return HttpServer::start(options, bufferedSessions(kMaxValueBytes, std::move(handler)));
}

int runPlatform(const std::string& address, const std::string& controlAddress, int reads, int writes)
{
    const sigset_t signals = blockStopSignals();
    PlatformStandin platform { {}, {}, {}, RateLimiter(reads), RateLimiter(writes) };
    auto api
        = serve(address, [&](const HttpRequest& request) { return handleApiRequest(platform, request); });
    auto control = serve(
        controlAddress, [&](const HttpRequest& request) { return handleControlRequest(platform, request); });
    if (!api.ok() || !control.ok()) {
        std::cerr << api.status() << " " << control.status() << "\n";
        return kExitFailed;
    }
    std::cout << "ready api=" << (*api)->address() << " control=" << (*control)->address() << std::endl;
    awaitStopSignal(signals);
    return kExitOk;
}

} // namespace
} // namespace jackdawwall::standin

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] {
        TCLAP::CmdLine line(
            "Stand-in for the platform's object API with fault injection.", ' ', kProgramVersion);
        TCLAP::ValueArg<std::string> address(
            "a", "address", "Address of the object API", false, "127.0.0.1:0", "IP:PORT", line);
        TCLAP::ValueArg<std::string> control("c", "control",
            "Address of the control interface for faults and statistics", false, "127.0.0.1:0", "IP:PORT",
            line);
        TCLAP::ValueArg<int> reads(
            "r", "reads", "Limit of reads and watches per second", false, 2000, "N", line);
        TCLAP::ValueArg<int> writes("w", "writes", "Limit of writes per second", false, 400, "N", line);
        line.parse(argc, argv);
        return standin::runPlatform(
            address.getValue(), control.getValue(), reads.getValue(), writes.getValue());
    });
}
