// Another writer leaves an entry in the store whose text is not UTF-8. The operator then moves bookings to
// another service.
#include "stand.hpp"

using namespace stand;

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    Record record(argv[2]);
    Fleet fleet(argv[1], record);
    Machine& entry = fleet.add("one", "survey");
    Machine& older = fleet.add("two", "dispatch");
    Machine& newer = fleet.add("three", "swatch");
    Backend survey, dispatch, swatch;
    if (!fleet.startStore() || !survey.start(entry, record) || !dispatch.start(older, record)
        || !swatch.start(newer, record))
        finish(fleet, record, 2, "could not run: an address is in use");
    const auto routes = [](const std::string& bookings) {
        return std::vector<RouteSpec> { { "r-survey", "/survey/", "upload", "survey" },
            { "r-book", "/book/", "unsafe", bookings } };
    };
    fleet.store.put("config", "main", configuration(7, routes("dispatch")));
    for (const auto& machine : fleet.machines) {
        fleet.startNode(*machine);
        fleet.startCheckIns(*machine);
    }
    if (!fleet.waitReady(15))
        finish(fleet, record, 2, "could not run: the nodes did not become ready");
    sleepSeconds(4); // Longer than stable_window_ms: all machines are in touch.

    int bookings = 0;
    const auto bookAtAll = [&](const std::string& when) {
        for (const auto& machine : fleet.machines) {
            const std::string id = when + "-" + machine->name;
            ++bookings;
            record.line("sent   " + id + " to " + machine->outbound());
            const auto reply
                = exchange(machine->outbound(), requestHead("POST", "/book/5", id, "Content-Length: 0\r\n"), 1);
            record.line("answer " + id + ": " + (reply.empty() ? "none" : std::to_string(reply[0].status())));
        }
    };
    bookAtAll("before");
    if (dispatch.runs().size() != 3)
        finish(fleet, record, 2, "could not run: sound bookings were not answered");
    if (hasTrouble()) {
        record.line("fault  another writer creates config/notes with a text in Latin-1");
        fleet.store.put("config", "notes", "{\"text\":\"caf\xe9\"}");
        sleepSeconds(1);
    }
    record.line("operator: version 9 moves bookings from dispatch to swatch; acknowledged");
    fleet.store.put("config", "main", configuration(9, routes("swatch")));
    bookings = 0;
    for (const char* when : { "3s", "6s", "9s", "12s", "15s" }) {
        sleepSeconds(3); // The first after config_apply_ms (2 s) and one second more.
        bookAtAll(when);
    }
    const int old = static_cast<int>(dispatch.runs().size()) - 3;
    const int current = static_cast<int>(swatch.runs().size());
    finish(fleet, record, old > 0 ? 1 : 0, std::to_string(old) + " of " + std::to_string(bookings)
            + " bookings that were sent 3 to 15 s after the ack of version 9 were run by the old service, "
            + std::to_string(current) + " by the new one");
}
