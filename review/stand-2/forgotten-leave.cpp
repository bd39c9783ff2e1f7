// A backend leaves while the store is down, and its node acknowledges that. Then all nodes are killed and started
// again, the store comes back, and one check-in of before the leave arrives late.
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
    Machine& leaving = fleet.add("two", "dispatch");
    Machine& staying = fleet.add("three", "dispatch");
    Machine& other = fleet.add("four", "swatch");
    Backend survey, leavingDispatch, stayingDispatch, swatch;
    if (!fleet.startStore() || !survey.start(entry, record) || !leavingDispatch.start(leaving, record)
        || !stayingDispatch.start(staying, record) || !swatch.start(other, record))
        finish(fleet, record, 2, "could not run: an address is in use");
    fleet.store.put("config", "main", configuration(7,
        { { "r-survey", "/survey/", "upload", "survey" }, { "r-book", "/book/", "unsafe", "dispatch" } }));
    for (const auto& machine : fleet.machines) {
        fleet.startNode(*machine);
        fleet.startCheckIns(*machine);
    }
    if (!fleet.waitReady(15))
        finish(fleet, record, 2, "could not run: the nodes did not become ready");
    sleepSeconds(4);
    int bookings = 0;
    const auto book = [&] {
        const std::string id = "book-" + std::to_string(++bookings);
        const auto reply
            = exchange(entry.outbound(), requestHead("POST", "/book/5", id, "Content-Length: 0\r\n"), 1);
        record.line("answer " + id + ": " + (reply.empty() ? "none" : std::to_string(reply[0].status())));
        sleepSeconds(0.05);
    };
    while (bookings < 20)
        book();
    if (leavingDispatch.runs().empty() || stayingDispatch.runs().empty())
        finish(fleet, record, 2, "could not run: a backend got no booking");

    if (hasTrouble()) {
        fleet.store.setDown(true);
        record.line("fault  the store is down");
    }
    sleepSeconds(0.5);
    leaving.hasLeft = true;
    sleepSeconds(0.6);
    const std::string body = "{\"born\":" + std::to_string(leaving.born) + "}";
    bool isAcknowledged = false;
    for (int attempt = 0; attempt < 3 && !isAcknowledged; ++attempt)
        isAcknowledged = Fleet::tell(leaving, "leave", body);
    if (!isAcknowledged)
        finish(fleet, record, 2, "could not run: the leave was not acknowledged");
    const double acknowledged = secondsSinceStart();
    record.line("acknowledged: the backend of two leaves; it serves on for 14 s");
    sleepSeconds(0.5);
    if (hasTrouble()) {
        fleet.killAll();
        sleepSeconds(0.5);
        for (const auto& machine : fleet.machines)
            fleet.startNode(*machine);
        fleet.store.setDown(false);
        record.line("the store is back");
    }
    if (!fleet.waitReady(15))
        finish(fleet, record, 2, "could not run: the nodes did not become ready again");
    sleepSeconds(1.5);
    record.line(std::string("a check-in of before the leave arrives late; acknowledged: ")
        + (Fleet::tell(leaving, "heartbeat", Fleet::checkIn(leaving, 3)) ? "yes" : "no"));
    // drain_ms is 2 s; stable_window_ms after the last disruption is 3 s.
    const double quiet = secondsSinceStart() + 3;
    while (secondsSinceStart() < std::max(quiet, acknowledged + 2))
        sleepSeconds(0.05);
    const auto before = leavingDispatch.runs().size();
    for (const int last = bookings + 40; bookings < last;)
        book();
    const auto late = leavingDispatch.runs().size() - before;
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.1f", secondsSinceStart() - acknowledged);
    finish(fleet, record, late > 0 ? 1 : 0, std::to_string(late)
            + " of 40 bookings reached the backend that had left, up to " + seconds + " s after the ack");
}
