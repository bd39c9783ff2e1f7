// A faulty backend spoils one of its answers: the length that it announces is wrong. Clients of its machine have requests in flight at the sound backend of another machine.
#include "stand.hpp"

using namespace stand;

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    Record record(argv[2]);
    Fleet fleet(argv[1], record);
    Machine& faulty = fleet.add("one", "swatch");
    Machine& sound = fleet.add("two", "dispatch");
    Machine& third = fleet.add("three", "swatch");
    Backend swatch, otherSwatch, dispatch;
    std::atomic<bool> spoilsNext = false;
    const auto garble = [&](int fd, const Message& request) {
        if (!spoilsNext.exchange(false))
            return false;
        const std::string id = request.header("Attempt-Id");
        record.line("fault  the backend of one answers " + id + " with a wrong Content-Length");
        sendAll(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: " + id
                + ".seal\r\nContent-Length: 999999999999999999\r\n\r\nhello");
        shutdown(fd, SHUT_RDWR); // It breaks off after the first bytes.
        return true;
    };
    if (!fleet.startStore() || !swatch.start(faulty, record, garble) || !dispatch.start(sound, record)
        || !otherSwatch.start(third, record))
        finish(fleet, record, 2, "could not run: an address is in use");
    fleet.store.put("config", "main", configuration(7,
        { { "r-swatch", "/swatch/", "safe", "swatch" }, { "r-dispatch", "/dispatch/", "safe", "dispatch" } }));
    for (const auto& machine : fleet.machines) {
        fleet.startNode(*machine);
        fleet.startCheckIns(*machine);
    }
    if (!fleet.waitReady(15))
        finish(fleet, record, 2, "could not run: the nodes did not become ready");
    sleepSeconds(4); // Longer than stable_window_ms: all machines are in touch.

    // So many sound answers of the backend that one spoilt one is less than 0.02 of its answers.
    int reads = 0;
    const auto read = [&] {
        const std::string id = "read-" + std::to_string(++reads);
        const auto reply = exchange(sound.outbound(), requestHead("GET", "/swatch/5", id), 1);
        if (reply.empty() || reply[0].status() != 200)
            record.line("answer " + id + ": " + (reply.empty() ? "none" : std::to_string(reply[0].status())));
    };
    while (swatch.runs().size() < 60 && reads < 600)
        read();
    KeptClients clients(record, faulty.outbound());
    clients.start(10, "/dispatch/", 3000);
    sleepSeconds(1);
    if (clients.kept() < 10 || swatch.runs().size() < 60)
        finish(fleet, record, 2, "could not run: first requests were not answered");
    spoilsNext = hasTrouble();
    for (int count = 0; count < 40 && (spoilsNext || !hasTrouble()); ++count)
        read();
    if (spoilsNext)
        finish(fleet, record, 2, "could not run: the faulty backend got no request");
    const int lost = countLost(clients.finish(), dispatch.runs());
    const std::string end = fleet.endOf(faulty, 2);
    if (!end.empty())
        record.line("ended  the node of one by itself, " + end + "; its last lines:" + fleet.lastLog(faulty));
    const std::string text = std::to_string(lost) + " requests on kept connections were passed on to a sound backend and "
        + "got no answer; the node of one " + (end.empty() ? "runs" : "ended by itself with " + end);
    finish(fleet, record, lost > 3 ? 1 : 0, text);
}
