// One client sends an upload in chunks that ends with a trailer field of 66,000 bytes. Other clients of the
// same machine have requests in flight at the sound backend of another machine.
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
    Machine& other = fleet.add("two", "dispatch");
    Backend survey, dispatch;
    if (!fleet.startStore() || !survey.start(entry, record) || !dispatch.start(other, record))
        finish(fleet, record, 2, "could not run: an address is in use");
    fleet.store.put("config", "main", configuration(7,
        { { "r-survey", "/survey/", "upload", "survey" }, { "r-dispatch", "/dispatch/", "safe", "dispatch" } }));
    for (const auto& machine : fleet.machines) {
        fleet.startNode(*machine);
        fleet.startCheckIns(*machine);
    }
    if (!fleet.waitReady(15))
        finish(fleet, record, 2, "could not run: the nodes did not become ready");
    sleepSeconds(4); // Longer than stable_window_ms: all machines are in touch.

    KeptClients clients(record, entry.outbound());
    clients.start(10, "/dispatch/", 3000);
    sleepSeconds(1);
    if (clients.kept() < 10)
        finish(fleet, record, 2, "could not run: first requests were not answered");
    const std::string trailer = hasTrouble() ? "X-Rest: " + std::string(66000, 'a') + "\r\n" : "X-Rest: a\r\n";
    record.line("sent   upload-1 in chunks with a trailer of " + std::to_string(trailer.size()) + " bytes");
    const std::string head = requestHead("POST", "/survey/5", "upload-1", "Transfer-Encoding: chunked\r\n");
    const int fd = connectTo(entry.outbound());
    const std::string bytes = head + "5\r\nhello\r\n0\r\n" + trailer + "\r\n";
    sendAll(fd, bytes.substr(0, 60000)); // In two parts, as a link with a small window delivers them.
    sleepSeconds(0.2);
    if (bytes.size() > 60000)
        sendAll(fd, bytes.substr(60000));
    Reader reader(fd);
    const auto reply = reader.next(3);
    close(fd);
    record.line("answer upload-1: " + (reply ? std::to_string(reply->status()) : "none, the connection ended"));
    const int lost = countLost(clients.finish(), dispatch.runs());
    const std::string end = fleet.endOf(entry, 2);
    if (!end.empty())
        record.line("ended  the node of one by itself, " + end + "; its last lines:" + fleet.lastLog(entry));
    const std::string text = std::to_string(lost) + " requests on kept connections were passed on to a sound backend and "
        + "got no answer; the node of one " + (end.empty() ? "runs" : "ended by itself with " + end);
    finish(fleet, record, lost > 3 || !end.empty() ? 1 : 0, text);
}
