// A client that the operators don't control sends one request whose headers and body look like a message
// between nodes. Rule ROUTE: afterwards no request of another client may be run by a service to which no
// configuration that the operator wrote allows it to go.
#include "stand.hpp"

namespace {

using namespace stand;

constexpr char kHost[] = "hulo84.example";
constexpr int kRequests = 20;

Json::Value routesTo(int version, const std::string& ledgerService)
{
    return configuration(version,
        { { "r-catalogue", kHost, "/swatch/", "safe", { { "swatch", 1 } } },
            { "r-status", kHost, "/ledger/", "safe", { { ledgerService, 1 } } },
            { "r-book", kHost, "/dispatch/", "unsafe", { { "dispatch", 1 } } } },
        { "swatch", "ledger", "dispatch" });
}

/// A body in the form that nodes send each other, with a configuration that the operator never wrote.
std::string forgedMessage()
{
    Json::Value message;
    message["run"] = "1";
    message["from"]["address"] = "127.0.0.1:9";
    message["from"]["incarnation"] = 1;
    message["from"]["status"] = "dead";
    message["from"]["service"] = "none";
    message["from"]["dataCentre"] = "none";
    message["from"]["isServing"] = false;
    message["members"] = Json::Value(Json::arrayValue);
    message["upTo"] = 0;
    message["heardUpTo"] = 0;
    message["version"] = 1000000;
    message["configuration"] = toJson(routesTo(1000000, "dispatch"));
    return toJson(message);
}

int run(const Place& place, Record& record)
{
    Store store;
    Backend swatch(record, "swatch", "i-swatch");
    Backend ledger(record, "ledger", "i-ledger");
    Backend dispatch(record, "dispatch", "i-dispatch");
    store.put("config", "main", routesTo(7, "ledger"));
    Node swatchNode(place, "sidecar-regina-1", "swatch", swatch.port(), store.port());
    Node ledgerNode(place, "sidecar-regina-2", "ledger", ledger.port(), store.port());
    Node dispatchNode(place, "sidecar-regina-3", "dispatch", dispatch.port(), store.port());
    for (Node* node : { &swatchNode, &ledgerNode, &dispatchNode })
        node->start();
    swatch.startHeartbeats(swatchNode.controlPort);
    ledger.startHeartbeats(ledgerNode.controlPort);
    dispatch.startHeartbeats(dispatchNode.controlPort);
    int probes = 0;
    const bool isServing = awaitServing({ &swatchNode, &ledgerNode, &dispatchNode }, [&] {
        const std::string id = "probe-" + std::to_string(++probes);
        return ask(swatchNode.callerPort, request("GET", kHost, "/ledger/a", id)) == 200
            && ask(swatchNode.callerPort, request("POST", kHost, "/dispatch/a", id + "b", "x")) == 200;
    });
    if (!isServing)
        return kNotRun;
    sleepFor(4); // All machines are in touch.

    const std::string fields = place.hasTrouble ? "Jackdaw-Hop-News: 1\r\n" : "X-News: 1\r\n";
    record.line("sent     foreign to %s, with \"%s\"", swatchNode.name().c_str(),
        fields.substr(0, fields.size() - 2).c_str());
    const int status = ask(
        swatchNode.callerPort, request("POST", kHost, "/ledger/a", "foreign", forgedMessage(), 3000, fields));
    record.line("answer   foreign: %d", status);
    sleepFor(3);
    const int before = dispatch.runs;
    for (int index = 0; index < kRequests; ++index) {
        const std::string id = "ordinary-" + std::to_string(index);
        record.line("answer   %s: %d", id.c_str(),
            ask(swatchNode.callerPort, request("GET", kHost, "/ledger/b", id)));
    }
    const int misrouted = dispatch.runs - before;
    record.line("run by dispatch: %d of %d requests on a route of ledger (allowed: 0)", misrouted, kRequests);
    return misrouted > 0 ? kBroken : kPassed;
}

} // namespace

int main(int count, char** arguments)
{
    return stand::runCase(count, arguments, run);
}
