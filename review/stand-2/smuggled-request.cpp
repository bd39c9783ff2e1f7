// A client sends an upload with a transfer coding that does not end with "chunked". Its body holds the text of
// another request, which no client sends.
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
        { { "r-survey", "/survey/", "upload", "survey" }, { "r-dispatch", "/book/", "unsafe", "dispatch" } }));
    for (const auto& machine : fleet.machines) {
        fleet.startNode(*machine);
        fleet.startCheckIns(*machine);
    }
    if (!fleet.waitReady(15))
        finish(fleet, record, 2, "could not run: the nodes did not become ready");
    sleepSeconds(4);

    const auto sound = exchange(entry.outbound(),
        requestHead("POST", "/survey/5", "upload-1", "Content-Length: 5\r\n") + "hello", 1);
    if (sound.empty() || sound[0].status() != 200)
        finish(fleet, record, 2, "could not run: a sound upload was not answered");
    const std::string inner = requestHead("POST", "/book/5", "never-sent", "Content-Length: 0\r\n");
    const std::string framing
        = hasTrouble() ? "Transfer-Encoding: gzip\r\n" : "Content-Length: " + std::to_string(inner.size()) + "\r\n";
    record.line("sent   upload-2 with " + framing.substr(0, framing.size() - 2) + " and a body that holds the text of a booking");
    const auto replies
        = exchange(entry.outbound(), requestHead("POST", "/survey/5", "upload-2", framing) + inner, 2, 3);
    for (const Message& reply : replies)
        record.line("answer " + std::to_string(reply.status()) + " for " + reply.header("Attempt-Id"));
    const auto bookings = dispatch.runs();
    const auto uploads = survey.runs();
    const bool hasSmuggled = bookings.contains("never-sent");
    const bool hasChangedBody
        = uploads.contains("upload-2") && uploads.at("upload-2").front().body != inner;
    const std::string text = std::string("the booking inside the upload ") + (hasSmuggled ? "was run" : "was not run")
        + "; the upload " + (!uploads.contains("upload-2") ? "was refused" : hasChangedBody ? "was run with another body" : "was run as sent");
    finish(fleet, record, hasSmuggled || hasChangedBody ? 1 : 0, text);
}
