// Planned stops of a node beside callers that keep using their connections. Guards against requests that are
// read or passed on and then cut off when the process exits.
#include "relay-fixture.h"

#include <boost/test/data/test_case.hpp>

#include <atomic>
#include <thread>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr char kRoutes[]
    = "5;read a.example /read/ books safe 5000 1;book a.example /book/ books unsafe 5000 1";
constexpr absl::Duration kDrainTime = absl::Milliseconds(60);
constexpr absl::Duration kStopTime = absl::Seconds(3);
constexpr auto kWorkTime = std::chrono::milliseconds(250);

/// A node whose target responds after kWorkTime with a body of a given size.
struct StoppingNode {
    explicit StoppingNode(std::size_t bodyBytes)
        : target(loop, ScriptedTarget::AsyncScript([this, bodyBytes](const Request& request, auto done) {
            auto timer = std::make_shared<asio::steady_timer>(loop, kWorkTime);
            timer->async_wait([timer, request, done, bodyBytes](beast::error_code) {
                done({ sealedResponse(request, std::string(bodyBytes, 'x')) });
            });
        }))
        , node(loop, store, "n1", "books", target.address())
    {
        node.settings.callerDrainTime = kDrainTime;
        node.settings.stopTime = kStopTime;
        store.set("configuration", "main", kRoutes);
        node.start();
        node.awaitReady();
        BOOST_REQUIRE_EQUAL(node.heartbeat("/ready/t1/100/1"), 200U);
    }

    /// Runs until the node ends the event loop, then ends the node like its process.
    void runToTheEnd()
    {
        loop.restart();
        loop.run_for(std::chrono::seconds(20));
        BOOST_REQUIRE(loop.stopped());
        node.node.reset();
    }

    asio::io_context loop;
    MemoryStore store { loop };
    ScriptedTarget target;
    TestNode node;
};

/// A caller on one connection that reads a piece at a time, in a thread of its own: it goes on when the node
/// has ended the event loop.
class Caller {
public:
    Caller(const std::string& address, std::chrono::microseconds pause)
        : socket_(loop_)
        , pause_(pause)
    {
        socket_.connect(parseEndpoint(address));
        reader_ = std::thread([this] { readAll(); });
    }
    ~Caller()
    {
        beast::error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_both, ignored);
        if (reader_.joinable())
            reader_.join();
    }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
    bool isEnded() const { return isEnded_; }
    /// All bytes up to the end of the connection, for which it waits.
    const std::string& received()
    {
        if (reader_.joinable())
            reader_.join();
        return received_;
    }

private:
    void readAll()
    {
        std::vector<char> piece(64U << 10);
        beast::error_code error;
        while (!error) {
            received_.append(piece.data(), socket_.read_some(asio::buffer(piece), error));
            std::this_thread::sleep_for(pause_);
        }
        isEnded_ = true;
    }

    asio::io_context loop_;
    Tcp::socket socket_;
    const std::chrono::microseconds pause_;
    std::string received_;
    std::atomic<bool> isEnded_ { false };
    std::thread reader_;
};

std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t position = text.find(part); position != std::string::npos;
         position = text.find(part, position + 1))
        ++count;
    return count;
}

struct LateRequest {
    const char* name;
    http::verb method;
    const char* path;
    absl::Duration lateness; ///< After the start of the stop.
    bool isOnOpenConnection;
};

std::ostream& operator<<(std::ostream& out, const LateRequest& late)
{
    return out << late.name << " after " << absl::FormatDuration(late.lateness)
               << (late.isOnOpenConnection ? " on an open connection" : " on a new connection");
}

std::vector<LateRequest> lateRequests()
{
    std::vector<LateRequest> all;
    for (const int ms : { 0, 30, 55, 65, 120, 300 }) {
        for (const bool isOpen : { true, false }) {
            all.push_back({ "a read", http::verb::get, "/read/1", absl::Milliseconds(ms), isOpen });
            all.push_back({ "a booking", http::verb::post, "/book/1", absl::Milliseconds(ms), isOpen });
        }
    }
    return all;
}

} // namespace

// Requests that were sent behind another one and passed on are answered as well.
BOOST_AUTO_TEST_CASE(answersPipelinedRequestsThatWerePassedOn)
{
    StoppingNode stopping(10);
    Caller caller(stopping.node.settings.callerAddress, std::chrono::microseconds(0));
    std::string bytes;
    for (const char* id : { "r1", "r2", "r3" })
        bytes += serializeRequest(callerRequest(http::verb::get, "/read/1", id));
    caller.send(bytes);
    runUntil(stopping.loop, [&] { return stopping.target.requests.size() == 3; });
    stopping.node.node->stop();
    stopping.runToTheEnd();
    BOOST_TEST(countOf(caller.received(), "HTTP/1.1 200") == 3U);
    BOOST_TEST(countOf(caller.received(), "Connection: close") == 1U);
}

// A response that the caller is still reading when the node has nothing else to do.
BOOST_AUTO_TEST_CASE(waitsForResponsesThatAreBeingWritten)
{
    constexpr std::size_t kBodyBytes = 24U << 20;
    StoppingNode stopping(kBodyBytes);
    Caller caller(stopping.node.settings.callerAddress, std::chrono::milliseconds(3));
    caller.send(serializeRequest(callerRequest(http::verb::get, "/read/1", "r1")));
    runUntil(stopping.loop, [&] { return !stopping.target.requests.empty(); });
    stopping.node.node->stop();
    stopping.runToTheEnd();
    BOOST_TEST(caller.received().size() > kBodyBytes);
}

// Each request is either served, or refused without having run.
BOOST_DATA_TEST_CASE(answersEachLateRequest, boost::unit_test::data::make(lateRequests()), late)
{
    StoppingNode stopping(10);
    const std::string& address = stopping.node.settings.callerAddress;
    std::unique_ptr<Caller> caller;
    if (late.isOnOpenConnection)
        caller = std::make_unique<Caller>(address, std::chrono::microseconds(0));
    // Keeps the node from closing idle connections at once.
    Caller other(address, std::chrono::microseconds(0));
    other.send(serializeRequest(callerRequest(http::verb::get, "/read/2", "other")));
    runUntil(stopping.loop, [&] { return stopping.target.requests.size() == 1; });
    stopping.node.node->stop();
    asio::steady_timer timer(stopping.loop, absl::ToChronoMicroseconds(late.lateness));
    timer.async_wait([&](beast::error_code) {
        if (!caller)
            caller = std::make_unique<Caller>(address, std::chrono::microseconds(0));
        if (!caller->isEnded())
            caller->send(serializeRequest(callerRequest(late.method, late.path, "late")));
    });
    stopping.runToTheEnd();
    BOOST_TEST(countOf(other.received(), "HTTP/1.1 200") == 1U);
    const std::size_t runs = stopping.target.requests.size() - 1;
    BOOST_TEST(countOf(caller->received(), "HTTP/1.1 200") == runs);
    const bool wasClosedBefore = caller->isEnded() && caller->received().empty();
    if (runs == 0 && !wasClosedBefore)
        BOOST_TEST(countOf(caller->received(), "HTTP/1.1 503") == 1U);
}
