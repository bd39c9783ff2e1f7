// An entry of another writer, with bytes that can't be read, lies beside the nodes' records in the store. Then
// all processes are killed and started again. Rule RECOVER: of the requests sent later than recover_s after
// they are back, a quarter or more has to be served.
#include "stand.hpp"

namespace {

using namespace stand;

constexpr char kHost[] = "hulo84.example";
constexpr int kRequests = 40;
constexpr double kRecoverSeconds = 15;
constexpr double kDownSeconds = 1;

struct Fleet {
    std::vector<std::unique_ptr<Backend>> backends;
    std::vector<std::unique_ptr<Node>> nodes;
};

/// Sends requests from each machine to the service of the other; returns how many were served.
int serve(const Fleet& fleet, Record& record, const char* phase)
{
    int served = 0;
    for (int index = 0; index < kRequests; ++index) {
        const Node& node = *fleet.nodes[static_cast<std::size_t>(index) % fleet.nodes.size()];
        const std::string id = std::string(phase) + "-" + std::to_string(index);
        const std::string path = node.service() == "swatch" ? "/ledger/a" : "/swatch/a";
        const int status = ask(node.callerPort, request("GET", kHost, path, id));
        record.line("answer   %s at %s: %d", id.c_str(), node.name().c_str(), status);
        served += status == 200 ? 1 : 0;
        sleepFor(0.05);
    }
    record.line("served   %s: %d of %d", phase, served, kRequests);
    return served;
}

int run(const Place& place, Record& record)
{
    Store store;
    store.put("config", "main",
        configuration(7,
            { { "r-catalogue", kHost, "/swatch/", "safe", { { "swatch", 1 } } },
                { "r-status", kHost, "/ledger/", "safe", { { "ledger", 1 } } } },
            { "swatch", "ledger" }));
    Fleet fleet;
    int machine = 0;
    for (const char* service : { "swatch", "swatch", "ledger", "ledger" }) {
        const std::string number = std::to_string(++machine);
        fleet.backends.push_back(std::make_unique<Backend>(record, service, "i-" + number));
        Backend& backend = *fleet.backends.back();
        fleet.nodes.push_back(
            std::make_unique<Node>(place, "sidecar-regina-" + number, service, backend.port(), store.port()));
        fleet.nodes.back()->start();
        backend.startHeartbeats(fleet.nodes.back()->controlPort);
    }
    std::vector<Node*> nodes;
    for (const auto& node : fleet.nodes)
        nodes.push_back(node.get());
    int probes = 0;
    const bool isServing = awaitServing(nodes, [&] {
        bool isServed = true;
        for (const Node* node : nodes)
            isServed = ask(node->callerPort,
                           request("GET", kHost, node->service() == "swatch" ? "/ledger/a" : "/swatch/a",
                               "probe-" + std::to_string(++probes)))
                    == 200
                && isServed;
        return isServed;
    });
    if (!isServing)
        return kNotRun;
    sleepFor(4); // All machines are in touch.
    if (place.hasTrouble) {
        store.putForeign("jackdaw-nodes",
            "{\"metadata\":{\"name\":\"another\",\"revision\":2,\"created\":2,\"finalizers\":[],"
            "\"deleting\":false},\"spec\":\"\xff\xfe\x80\",\"status\":null}");
        record.line("store    holds an entry of another writer with bytes that can't be read");
    }
    if (serve(fleet, record, "before") * 4 < kRequests)
        return kNotRun;
    record.line("kill     all processes");
    for (Node* node : nodes)
        node->end(SIGKILL);
    sleepFor(kDownSeconds);
    for (Node* node : nodes)
        node->start();
    record.line("start    all processes");
    sleepFor(kRecoverSeconds + 1);
    const int served = serve(fleet, record, "after");
    return served * 4 < kRequests ? kBroken : kPassed;
}

} // namespace

int main(int count, char** arguments)
{
    return stand::runCase(count, arguments, run);
}
