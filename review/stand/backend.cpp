#include "backend.hpp"

#include "store.hpp"

namespace review {

std::string answerBody(const std::string& attempt, std::size_t size)
{
    std::string body = "answer to " + attempt + "\n";
    body.resize(std::max(size, body.size()), 'x');
    return body;
}

Backend::Backend(BackendOptions options)
    : options_(std::move(options))
    , born_(static_cast<std::uint64_t>(unixMs()))
    , server_(
          std::make_unique<Server>(options_.address, [this](Connection& connection) { serve(connection); }))
{
    heartbeats_ = std::thread([this] { heartbeatLoop(); });
}

Backend::~Backend()
{
    exit();
    if (heartbeats_.joinable())
        heartbeats_.join();
}

void Backend::exit()
{
    if (isEnding_.exchange(true))
        return;
    record("backend " + options_.id + " exits");
    server_->stop();
}

void Backend::stopHeartbeats()
{
    hasStoppedHeartbeats_ = true;
}

std::vector<Arrival> Backend::arrivals() const
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

std::string Backend::heartbeatBody()
{
    Json::Value body;
    body["service"] = options_.service;
    body["address"] = options_.address.text();
    body["zone"] = options_.zone;
    body["version"] = "v1";
    body["capacity"] = options_.slots;
    body["state"] = isDraining_ ? "draining" : "ready";
    body["cold_left_ms"] = 0;
    body["sequence"] = Json::UInt64(++sequence_);
    body["born"] = Json::UInt64(born_);
    return toText(body);
}

bool Backend::sendHeartbeat()
{
    const bool saysDraining = isDraining_;
    const std::string target = "/jackdawwall/rpc?call=instances.heartbeat&of=" + options_.id;
    const auto answer = exchange(options_.control,
        requestBytes("POST", target,
            { { "Host", options_.control.text() }, { "Content-Type", "application/json" } }, heartbeatBody()),
        1000, { options_.address.ip });
    const bool isAcknowledged = answer && answer->status() / 100 == 2;
    if (saysDraining && isAcknowledged && leaveAcknowledgedAt_ == 0) {
        leaveAcknowledgedAt_ = nowMs();
        record("backend " + options_.id + " draining acknowledged");
    }
    return isAcknowledged;
}

void Backend::heartbeatLoop()
{
    while (!isEnding_) {
        if (!hasStoppedHeartbeats_)
            sendHeartbeat();
        for (int waited = 0; waited < options_.heartbeatMs && !isEnding_; waited += 20)
            sleepMs(20);
    }
}

void Backend::drain()
{
    record("backend " + options_.id + " reports draining");
    isDraining_ = true;
    while (!isEnding_ && leaveAcknowledgedAt_ == 0) {
        if (!sendHeartbeat())
            sleepMs(100);
    }
}

void Backend::sendLeave()
{
    Json::Value body;
    body["born"] = Json::UInt64(born_);
    const std::string bytes = requestBytes("POST", "/jackdawwall/rpc?call=instances.leave&of=" + options_.id,
        { { "Host", options_.control.text() }, { "Content-Type", "application/json" } }, toText(body));
    record("backend " + options_.id + " sends leave");
    while (!isEnding_) {
        const auto answer = exchange(options_.control, bytes, 1000, { options_.address.ip });
        if (answer && answer->status() / 100 == 2)
            break;
        sleepMs(100);
    }
    record("backend " + options_.id + " leave acknowledged");
    if (leaveAcknowledgedAt_ == 0)
        leaveAcknowledgedAt_ = nowMs();
}

void Backend::serve(Connection& connection)
{
    while (const auto request = connection.readMessage(30'000)) {
        const std::string attempt = request->header("Attempt-Id");
        const std::string expected = request->header("Expect-Instance");
        const std::vector<std::pair<std::string, std::string>> identity { { "Attempt-Id", attempt } };
        std::size_t index = 0;
        const bool isMisdirected = !expected.empty() && expected != options_.id;
        const bool isFull = !isMisdirected && running_ >= options_.slots;
        {
            const std::lock_guard lock(mutex_);
            index = arrivals_.size();
            arrivals_.push_back(
                { attempt, request->header("Caller-Service"), nowMs(), !isMisdirected && !isFull });
        }
        if (isMisdirected || isFull) {
            const std::string bytes = isMisdirected
                ? responseBytes(421, { { "Attempt-Id", attempt }, { "Instance-Id", options_.id } }, "")
                : responseBytes(503, { { "Attempt-Id", attempt }, { "Not-Executed", "1" } }, "");
            if (!connection.write(bytes))
                return;
            continue;
        }
        record("backend " + options_.id + " runs " + attempt);
        ++running_;
        const bool isOpen = connection.waitWhileOpen(options_.workMs);
        --running_;
        bool isAnswered = false;
        if (isOpen) {
            isAnswered = respond
                ? respond(connection, *request)
                : connection.write(responseBytes(200,
                    { { "Attempt-Id", attempt }, { "Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1" },
                        { "Keep-Alive", "timeout=10" } },
                    answerBody(attempt, options_.responseBytes)));
        }
        {
            const std::lock_guard lock(mutex_);
            arrivals_[index].isAnswered = isAnswered;
            arrivals_[index].isCutOff = !isOpen && isEnding_;
            arrivals_[index].hasNodeLeft = !isOpen && !isEnding_;
        }
        record("backend " + options_.id + (isAnswered ? " answered " : " did not answer ") + attempt
            + (!isOpen && isEnding_ ? " (the backend ended)" : ""));
        if (!isAnswered)
            return;
    }
}

} // namespace review
