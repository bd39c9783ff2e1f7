// Malformed messages that must not end a node's process, one per command:
//   answer-trailer   a backend's chunked answer ends with an over-long trailer field
//   answer-length    a backend's answer announces an absurd Content-Length
//   request-trailer  a client's chunked request ends with an over-long trailer field
// Rule LOST: while the message arrives, kept connections wait for answers of a sound backend; more than three
// of them closed without an answer break the rule.
#include "stand.hpp"

namespace {

using namespace stand;

constexpr int kKeptConnections = 8;
/// Closed kept connections that the rule allows.
constexpr int kAllowedLosses = 3;
/// Over the 65,533 bytes that the HTTP library takes as the value of a field.
constexpr std::size_t kFieldBytes = 70000;
constexpr char kHost[] = "hulo84.example";

std::string sealedHead(const Message& request, const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("Attempt-Id")
        + "\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + fields + "\r\n";
}

std::string chunkedWithTrailer()
{
    return "5\r\nhello\r\n0\r\nX-Rest: " + std::string(kFieldBytes, 'a') + "\r\n\r\n";
}

int run(const std::string& kind, const Place& place, Record& record)
{
    Store store;
    Backend swatch(record, "swatch", "i-swatch");
    Backend ledger(record, "ledger", "i-ledger");
    swatch.workSeconds = 0.02;
    ledger.workSeconds = 1.2;
    swatch.special = [&](Connection& connection, const Message& request) {
        if (request.target().find("/spoilt") == std::string::npos || !place.hasTrouble)
            return false;
        if (kind == "answer-trailer")
            connection.write(sealedHead(request, "Transfer-Encoding: chunked\r\n") + chunkedWithTrailer());
        else if (kind == "answer-length")
            connection.write(sealedHead(request, "Content-Length: 999999999999999\r\n") + "hello");
        sleepFor(0.5);
        return true;
    };
    store.put("config", "main",
        configuration(7,
            { { "r-catalogue", kHost, "/swatch/", "safe", { { "swatch", 1 } } },
                { "r-status", kHost, "/ledger/", "safe", { { "ledger", 1 } } },
                { "r-photo", kHost, "/photo/", "upload", { { "swatch", 1 } } } },
            { "swatch", "ledger" }));
    Node swatchNode(place, "sidecar-regina-1", "swatch", swatch.port(), store.port());
    Node ledgerNode(place, "sidecar-regina-2", "ledger", ledger.port(), store.port());
    swatchNode.start();
    ledgerNode.start();
    swatch.startHeartbeats(swatchNode.controlPort);
    ledger.startHeartbeats(ledgerNode.controlPort);
    int probes = 0;
    const bool isServing = awaitServing({ &swatchNode, &ledgerNode }, [&] {
        const std::string id = "probe-" + std::to_string(++probes);
        return ask(swatchNode.callerPort, request("GET", kHost, "/swatch/a", id)) == 200
            && ask(swatchNode.callerPort, request("GET", kHost, "/ledger/a", id + "b")) == 200;
    });
    if (!isServing)
        return kNotRun;
    sleepFor(4); // All machines are in touch.

    // Kept connections: each has had an answer before, and now waits for the sound backend.
    std::vector<std::unique_ptr<Connection>> kept;
    Message reply;
    for (int index = 0; index < kKeptConnections; ++index) {
        kept.push_back(Connection::open(swatchNode.callerPort));
        if (!kept.back() || !kept.back()->write(request("GET", kHost, "/swatch/b", "first-" + std::to_string(index)))
            || kept.back()->read(reply, 3, true) != Connection::End::Complete || reply.status() != 200)
            return kNotRun;
    }
    for (int index = 0; index < kKeptConnections; ++index) {
        const std::string id = "kept-" + std::to_string(index);
        record.line("sent     %s on a kept connection of %s", id.c_str(), swatchNode.name().c_str());
        if (!kept[static_cast<std::size_t>(index)]->write(request("GET", kHost, "/ledger/b", id)))
            return kNotRun;
    }
    sleepFor(0.4);
    const bool isRequest = kind == "request-trailer";
    record.line("sent     spoilt to %s", swatchNode.name().c_str());
    const auto spoilt = Connection::open(swatchNode.callerPort);
    if (!spoilt)
        return kNotRun;
    if (isRequest)
        spoilt->write(std::string("POST /photo/a HTTP/1.1\r\nHost: ") + kHost
            + "\r\nAttempt-Id: spoilt\r\nDeadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
            + (place.hasTrouble ? chunkedWithTrailer() : "5\r\nhello\r\n0\r\n\r\n"));
    else
        spoilt->write(request("GET", kHost, "/swatch/spoilt", "spoilt"));

    int lost = 0;
    for (int index = 0; index < kKeptConnections; ++index) {
        const Connection::End end = kept[static_cast<std::size_t>(index)]->read(reply, 4, true);
        const bool isAnswered = end == Connection::End::Complete;
        record.line("answer   kept-%d: %s %d", index, toText(end), isAnswered ? reply.status() : 0);
        lost += isAnswered ? 0 : 1;
    }
    const Connection::End end = spoilt->read(reply, 4, true);
    record.line("answer   spoilt: %s %d", toText(end), end == Connection::End::Complete ? reply.status() : 0);
    sleepFor(0.5); // The process closes its connections before it exits.
    const bool isRunning = swatchNode.isRunning();
    record.line("process  %s %s", swatchNode.name().c_str(), isRunning ? "runs" : "has ended by itself");
    if (!isRunning)
        record.line("process  exit status %d", WIFEXITED(swatchNode.status) ? WEXITSTATUS(swatchNode.status) : -1);
    record.line("lost     %d of %d kept connections (allowed: %d)", lost, kKeptConnections, kAllowedLosses);
    return lost > kAllowedLosses ? kBroken : kPassed;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 5)
        return kNotRun;
    const std::string kind = arguments[4];
    return runCase(4, arguments,
        [&](const Place& place, Record& record) { return run(kind, place, record); });
}
