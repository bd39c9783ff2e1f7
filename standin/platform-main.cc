// standin-platform: a small stand-in for the platform's object API (docs/PLATFORM-API.md), with faults.
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

constexpr std::size_t kLongestValueBytes = 1U << 20;
constexpr std::size_t kMostListed = 1000;

/// What the stand-in is told to do wrong.
struct Faults {
    std::atomic<bool> isDown { false };
    std::atomic<int> slowMs { 0 };
    std::atomic<int> answersToLose { 0 }; ///< After the write took effect.
};

struct Counters {
    std::atomic<std::uint64_t> reads { 0 };
    std::atomic<std::uint64_t> writes { 0 };
    std::atomic<std::uint64_t> watches { 0 };
    std::atomic<std::uint64_t> refused { 0 };
};

/// Calls allowed in each second.
class RateGate {
public:
    explicit RateGate(int perSecond)
        : perSecond_(perSecond)
    {
    }

    bool take()
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
    RateGate readGate;
    RateGate writeGate;
};

HttpReply plain(int status, std::string body)
{
    HttpReply reply;
    reply.status = status;
    reply.body = std::move(body);
    return reply;
}

HttpReply replyOf(const absl::Status& status)
{
    if (status.ok())
        return plain(200, "");
    return plain(absl::IsAborted(status) ? 409 : 404, absl::StrCat(status.message(), "\n"));
}

HttpReply replyOf(const absl::StatusOr<Object>& object)
{
    if (!object.ok())
        return replyOf(object.status());
    HttpReply reply = plain(200, object->value);
    reply.headers.push_back({ "Version", absl::StrCat(object->version) });
    return reply;
}

std::uint64_t numberIn(const HttpRequest& request, absl::string_view name)
{
    std::uint64_t number = 0;
    return absl::SimpleAtoi(queryValue(request.head.target, name), &number) ? number : 0;
}

/// Loses the answer to a write: the connection breaks.
HttpReply lostReply()
{
    HttpReply reply;
    reply.stream = [](absl::Span<char>) -> std::ptrdiff_t { return -1; };
    return reply;
}

HttpReply writeReply(PlatformStandin& platform, HttpReply reply)
{
    if (platform.faults.answersToLose <= 0)
        return reply;
    --platform.faults.answersToLose;
    return lostReply();
}

HttpReply put(PlatformStandin& platform, const std::string& key, const HttpRequest& request)
{
    const absl::StatusOr<std::uint64_t> written
        = platform.store.write(key, request.body, numberIn(request, "if-version"));
    if (!written.ok())
        return replyOf(written.status());
    HttpReply reply = plain(200, "");
    reply.headers.push_back({ "Version", absl::StrCat(*written) });
    return writeReply(platform, std::move(reply));
}

HttpReply list(const PlatformStandin& platform, const HttpRequest& request)
{
    Json::Value array(Json::arrayValue);
    const std::string prefix = queryValue(request.head.target, "prefix");
    const std::string afterKey = queryValue(request.head.target, "after-key");
    for (const Object& object : platform.store.list(prefix, afterKey, kMostListed)) {
        Json::Value item(Json::objectValue);
        item["key"] = object.key;
        item["value"] = object.value;
        item["version"] = Json::UInt64(object.version);
        array.append(item);
    }
    return plain(200, canonicalJson(array));
}

/// Counts a call against its rate; a reply when it is refused.
bool isWithinRate(PlatformStandin& platform, bool isWrite, bool isWatch)
{
    ++(isWrite ? platform.counters.writes : isWatch ? platform.counters.watches : platform.counters.reads);
    if ((isWrite ? platform.writeGate : platform.readGate).take())
        return true;
    ++platform.counters.refused;
    return false;
}

HttpReply answerApi(PlatformStandin& platform, const HttpRequest& request)
{
    if (platform.faults.slowMs > 0)
        absl::SleepFor(absl::Milliseconds(platform.faults.slowMs.load()));
    if (platform.faults.isDown)
        return plain(503, "down\n");
    const std::string& path = request.head.path;
    const bool isWatch = absl::StartsWith(path, "/v1/watch/");
    const bool isWrite = request.head.method != "GET";
    if (!isWithinRate(platform, isWrite, isWatch))
        return plain(429, "over the call rate\n");
    if (path == "/v1/list")
        return list(platform, request);
    if (isWatch)
        return replyOf(platform.store.watch(path.substr(sizeof("/v1/watch/") - 1), numberIn(request, "after"),
            absl::Milliseconds(numberIn(request, "timeout-ms"))));
    if (!absl::StartsWith(path, "/v1/objects/"))
        return plain(404, "no such call\n");
    const std::string key = path.substr(sizeof("/v1/objects/") - 1);
    if (request.head.method == "PUT")
        return put(platform, key, request);
    if (request.head.method == "DELETE")
        return writeReply(platform, replyOf(platform.store.remove(key, numberIn(request, "if-version"))));
    return replyOf(platform.store.read(key));
}

HttpReply answerControl(PlatformStandin& platform, const HttpRequest& request)
{
    const std::string& path = request.head.path;
    if (path == "/fault") {
        platform.faults.isDown = queryValue(request.head.target, "down") == "1";
        platform.faults.slowMs = static_cast<int>(numberIn(request, "slow-ms"));
        platform.faults.answersToLose = static_cast<int>(numberIn(request, "lose"));
        return plain(200, "");
    }
    if (path == "/stats")
        return plain(200,
            absl::StrCat("reads=", platform.counters.reads.load(),
                " writes=", platform.counters.writes.load(), " watches=", platform.counters.watches.load(),
                " refused=", platform.counters.refused.load(), "\n"));
    return plain(404, "try /fault or /stats\n");
}

absl::StatusOr<std::unique_ptr<HttpServer>> serve(
    const std::string& address, std::function<HttpReply(const HttpRequest&)> handler)
{
    HttpServerOptions options;
    options.address = address;
    options.idleTimeout = absl::Seconds(60);
    return HttpServer::start(options, bufferedSessions(kLongestValueBytes, std::move(handler)));
}

int runPlatform(const std::string& address, const std::string& controlAddress, int reads, int writes)
{
    const sigset_t signals = blockStopSignals();
    PlatformStandin platform { {}, {}, {}, RateGate(reads), RateGate(writes) };
    auto api = serve(address, [&](const HttpRequest& request) { return answerApi(platform, request); });
    auto control
        = serve(controlAddress, [&](const HttpRequest& request) { return answerControl(platform, request); });
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
        TCLAP::CmdLine line("Stand-in for the platform's object API.", ' ', kProgramVersion);
        TCLAP::ValueArg<std::string> address("a", "address", "API", false, "127.0.0.1:0", "IP:PORT", line);
        TCLAP::ValueArg<std::string> control("c", "control", "Faults", false, "127.0.0.1:0", "IP:PORT", line);
        TCLAP::ValueArg<int> reads("r", "reads", "Reads and watches a second", false, 2000, "N", line);
        TCLAP::ValueArg<int> writes("w", "writes", "Writes a second", false, 400, "N", line);
        line.parse(argc, argv);
        return standin::runPlatform(
            address.getValue(), control.getValue(), reads.getValue(), writes.getValue());
    });
}
