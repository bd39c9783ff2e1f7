// A backend answers a long upload before it has read all of it, with a body that has no length. It breaks the
// answer off in the middle and resets the connection, as its process does when it crashes.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr int kUploadBytes = 8 << 20;
constexpr int kAnswerBytes = 4000;

/// Answers each request on a connection of its own. Long bodies are answered before they are read.
class EarlyBackend {
public:
    std::atomic<int> answers = 0;
    std::atomic<bool> breaksOffNext = false;

    bool start(const Machine& machine, Record& record)
    {
        const int listening = listenOn(machine.app());
        if (listening < 0)
            return false;
        std::thread([this, listening, &machine, &record] {
            for (;;) {
                const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0)
                    std::thread([this, fd, &machine, &record] { serve(fd, machine, record); }).detach();
            }
        }).detach();
        return true;
    }

private:
    static std::string field(const std::string& head, const std::string& name)
    {
        const std::size_t at = lower(head).find(lower("\r\n" + name + ": "));
        const std::size_t value = at + name.size() + 4;
        return at == std::string::npos ? "" : head.substr(value, head.find("\r\n", value) - value);
    }
    void serve(int fd, const Machine& machine, Record& record)
    {
        std::string bytes;
        char buffer[4096];
        std::size_t headEnd = 0;
        while ((headEnd = bytes.find("\r\n\r\n")) == std::string::npos) {
            const ssize_t count = recv(fd, buffer, sizeof buffer, 0);
            if (count <= 0) {
                close(fd);
                return;
            }
            bytes.append(buffer, static_cast<std::size_t>(count));
        }
        const std::string head = bytes.substr(0, headEnd + 2);
        const std::string id = field(head, "Attempt-Id");
        const std::size_t length = std::strtoul(field(head, "Content-Length").c_str(), nullptr, 10);
        std::size_t missing = length - std::min(length, bytes.size() - headEnd - 4);
        if (field(head, "Expect-Instance") != machine.id) {
            sendAll(fd, response(421, "", "Instance-Id: " + machine.id + "\r\n"));
            close(fd);
            return;
        }
        const bool isLong = length > 1000000;
        const auto readRest = [&] {
            while (missing > 0) {
                const ssize_t count = recv(fd, buffer, std::min(sizeof buffer, missing), 0);
                if (count <= 0)
                    return;
                missing -= static_cast<std::size_t>(count);
            }
        };
        if (!isLong)
            readRest();
        record.line("run    " + id + " at " + machine.name + " with a body of " + std::to_string(length) + " bytes");
        const std::string answerHead
            = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: " + id + ".seal\r\nConnection: close\r\n\r\n";
        const std::string body(kAnswerBytes, 'a');
        ++answers;
        if (isLong && breaksOffNext.exchange(false)) {
            sendAll(fd, answerHead + body.substr(0, kAnswerBytes / 2));
            sleepSeconds(0.02);
            record.line("fault  the backend of " + machine.name + " resets the connection after "
                + std::to_string(kAnswerBytes / 2) + " of " + std::to_string(kAnswerBytes) + " bytes of its answer to " + id);
            const linger reset { 1, 0 };
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            close(fd);
            return;
        }
        sendAll(fd, answerHead + body);
        shutdown(fd, SHUT_WR);
        readRest();
        while (recv(fd, buffer, sizeof buffer, 0) > 0) { }
        close(fd);
    }
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    Record record(argv[2]);
    Fleet fleet(argv[1], record);
    Machine& one = fleet.add("one", "survey");
    Machine& two = fleet.add("two", "survey");
    Machine& entry = fleet.add("three", "swatch");
    EarlyBackend first, second;
    Backend swatch;
    if (!fleet.startStore() || !first.start(one, record) || !second.start(two, record) || !swatch.start(entry, record))
        finish(fleet, record, 2, "could not run: an address is in use");
    fleet.store.put("config", "main", configuration(7, { { "r-survey", "/survey/", "upload", "survey" } }));
    for (const auto& machine : fleet.machines) {
        fleet.startNode(*machine);
        fleet.startCheckIns(*machine);
    }
    if (!fleet.waitReady(15))
        finish(fleet, record, 2, "could not run: the nodes did not become ready");
    sleepSeconds(4);

    int uploads = 0;
    const auto upload = [&](std::size_t bytes) {
        const std::string id = "upload-" + std::to_string(++uploads);
        const auto reply = exchange(entry.outbound(),
            requestHead("POST", "/survey/5", id, "Content-Length: " + std::to_string(bytes) + "\r\n") + std::string(bytes, 'u'), 1);
        record.line("answer " + id + ": " + (reply.empty() ? "none" : std::to_string(reply[0].status()) + ", seal "
            + (reply[0].header("Response-Seal").empty() ? "none" : "of the backend") + ", "
            + std::to_string(reply[0].body.size()) + " bytes, complete by its framing"));
        return reply.empty() ? Message {} : reply[0];
    };
    while (first.answers < 60 && second.answers < 60) {
        if (upload(2000).body.size() != kAnswerBytes)
            finish(fleet, record, 2, "could not run: a sound upload was not answered in full");
    }
    // One spoilt answer is less than 0.02 of this backend's answers.
    EarlyBackend& faulty = first.answers >= 60 ? first : second;
    if (upload(kUploadBytes).body.size() != kAnswerBytes)
        finish(fleet, record, 2, "could not run: a sound long upload was not answered in full");
    faulty.breaksOffNext = hasTrouble();
    int spoilt = 0;
    const int before = faulty.answers;
    for (int count = 0; count < 100 && (hasTrouble() ? faulty.breaksOffNext.load() : faulty.answers == before); ++count) {
        const Message reply = upload(kUploadBytes);
        spoilt += reply.status() == 200 && reply.body.size() != kAnswerBytes ? 1 : 0;
    }
    if (faulty.breaksOffNext || faulty.answers == before)
        finish(fleet, record, 2, "could not run: the backend got no long upload");
    finish(fleet, record, spoilt > 0 ? 1 : 0,
        std::to_string(spoilt) + " answers that were reset half-way reached the client as a complete success");
}
