// A client sends one request with a header of its own choice, as it would any other. A request of another
// client is then run by a service to which no configuration allows it to go.
#include "stand.h"

using namespace stand;

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    Record record(argv[2]);
    Fleet fleet(argv[1], record);
    Machine& entry = fleet.add("one", "survey");
    Machine& other = fleet.add("two", "dispatch");
    Machine& third = fleet.add("three", "swatch");
    Backend survey, dispatch, swatch;
    if (!fleet.startStore() || !survey.start(entry, record) || !dispatch.start(other, record)
        || !swatch.start(third, record))
        finish(fleet, record, 2, "could not run: an address is in use");
    const auto routes = [](const std::string& bookings) {
        return std::vector<RouteSpec> { { "r-survey", "/survey/", "upload", "survey" },
            { "r-dispatch", "/book/", "unsafe", bookings }, { "r-swatch", "/swatch/", "safe", "swatch" } };
    };
    fleet.store.put("config", "main", configuration(7, routes("dispatch")));
    for (const auto& machine : fleet.machines) {
        fleet.startNode(*machine);
        fleet.startCheckIns(*machine);
    }
    if (!fleet.waitReady(15))
        finish(fleet, record, 2, "could not run: the nodes did not become ready");
    sleepSeconds(4);

    const auto book = [&](const std::string& id, const Machine& machine) {
        record.line("sent   " + id + " to " + machine.outbound());
        const auto reply
            = exchange(machine.outbound(), requestHead("POST", "/book/5", id, "Content-Length: 0\r\n"), 1);
        record.line("answer " + id + ": " + (reply.empty() ? "none" : std::to_string(reply[0].status())));
        return !reply.empty() && reply[0].status() == 200;
    };
    if (!book("book-before", entry))
        finish(fleet, record, 2, "could not run: a sound booking was not answered");
    // The body is a document of the client; only the header makes nodes take it for a message of a node.
    std::string document;
    for (const char byte : configuration(8, routes("swatch")))
        document += byte == '"' ? std::string("\\\"") : std::string(1, byte);
    const std::string body = "{\"run\":\"1\",\"from\":{\"address\":\"" + fleet.address(200)
        + ":8300\",\"incarnation\":1,\"status\":\"dead\",\"service\":\"none\",\"dataCentre\":\"zone-a\",\"isServing\":false},"
          "\"members\":[],\"upTo\":0,\"heardUpTo\":0,\"version\":8,\"configuration\":\"" + document + "\"}";
    record.line(hasTrouble() ? "sent   client-1 with the header Jackdaw-Hop-News" : "sent   client-1");
    const auto reply = exchange(entry.outbound(),
        requestHead("POST", "/book/5", "client-1", (hasTrouble() ? "Jackdaw-Hop-News: 1\r\n" : "X-Other: 1\r\n")
                + ("Content-Length: " + std::to_string(body.size()) + "\r\n")) + body, 1);
    record.line("answer client-1: " + (reply.empty() ? "none" : std::to_string(reply[0].status())));
    sleepSeconds(2);
    int wrong = 0;
    for (const auto& machine : fleet.machines)
        book("book-" + machine->name, *machine);
    for (const auto& machine : fleet.machines)
        wrong += swatch.runs().contains("book-" + machine->name) ? 1 : 0;
    finish(fleet, record, wrong > 0 ? 1 : 0, std::to_string(wrong)
            + " of 3 bookings were run by swatch; all configurations that the operator sent let them go to dispatch only");
}
