// Clients and targets that read slowly, but steadily. Guards against a transport limit that is meant for dead
// paths between nodes and takes a closed window for one.
#include "relay-fixture.h"

#include "absl/strings/match.h"

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr char kRoutes[] = "5;read a.example /read/ books safe 15000 1";
constexpr std::size_t kResponseBytes = 30'000;
constexpr std::size_t kPipelined = 3;
/// 20 kB per second, with a small window: the responses take longer than the limit on dead paths.
constexpr std::size_t kBytesPerTick = 1000;
constexpr auto kTick = std::chrono::milliseconds(50);
constexpr int kSmallBuffer = 4096;
constexpr std::size_t kUploadBytes = 300'000;

/// Reads at most kBytesPerTick in each tick until `expected` bytes were read or the connection ends.
class SlowReader {
public:
    SlowReader(asio::io_context& loop, Tcp::socket& socket, std::size_t bytesPerTick)
        : socket_(socket)
        , timer_(loop)
        , buffer_(bytesPerTick, '\0')
    {
        read();
    }

    std::size_t received = 0;
    bool hasEnded = false;

private:
    void read()
    {
        socket_.async_read_some(asio::buffer(buffer_), [this](beast::error_code error, std::size_t bytes) {
            received += bytes;
            hasEnded = static_cast<bool>(error);
            if (error)
                return;
            timer_.expires_after(kTick);
            timer_.async_wait([this](beast::error_code timerError) {
                if (!timerError)
                    read();
            });
        });
    }

    Tcp::socket& socket_;
    asio::steady_timer timer_;
    std::string buffer_;
};

} // namespace

BOOST_AUTO_TEST_CASE(aCallerThatReadsSlowlyGetsItsWholeResponses)
{
    OneNode one(kRoutes, [](const Request& request) {
        return TargetResponse { sealedResponse(request, std::string(kResponseBytes, 'x')) };
    });
    Tcp::socket socket(one.loop, Tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
    socket.connect(parseEndpoint(one.node.settings.callerAddress));
    std::string bytes;
    for (std::size_t index = 0; index < kPipelined; ++index)
        bytes += serializeRequest(callerRequest(http::verb::get, "/read/1", absl::StrCat("r", index)));
    asio::write(socket, asio::buffer(bytes));
    SlowReader reader(one.loop, socket, kBytesPerTick);
    runUntil(one.loop, [&] { return reader.hasEnded || reader.received > kPipelined * kResponseBytes; });
    BOOST_TEST(reader.received > kPipelined * kResponseBytes);
}

BOOST_AUTO_TEST_CASE(aTargetThatReadsSlowlyGetsAWholeUpload)
{
    asio::io_context loop;
    Tcp::acceptor acceptor(loop, Tcp::v4());
    acceptor.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
    acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
    acceptor.listen();
    UpstreamPool pool(loop);
    pool.setSlowReader(acceptor.local_endpoint());
    ExchangeRequest exchange;
    exchange.bytes = std::string(kUploadBytes, 'x');
    bool hasFailed = false;
    const auto connection = pool.send(
        acceptor.local_endpoint(), std::move(exchange), [&](const ExchangeResult&) { hasFailed = true; });
    Tcp::socket target(loop);
    acceptor.async_accept(target, [](beast::error_code) {});
    runUntil(loop, [&] { return target.is_open(); });
    // 80 kB per second: 4 s in all, mostly with a closed window.
    SlowReader reader(loop, target, 4 * kBytesPerTick);
    runUntil(loop, [&] { return hasFailed || reader.hasEnded || reader.received >= kUploadBytes; });
    BOOST_TEST(!hasFailed);
    BOOST_TEST(reader.received == kUploadBytes);
    connection->cancel();
    target.close();
    runUntil(loop, [&] { return reader.hasEnded; });
}
