// Responses that a target sends before it has read all of an upload, and that end in different ways. Guards
// against a response that was reset half-way and reaches the caller as complete.
#include "relay-fixture.h"

#include <boost/test/data/test_case.hpp>

using namespace jackdawwall;
using namespace jackdawwall::relay;
using namespace jackdawwall::relay::test;

namespace {

constexpr char kRoutes[] = "5;store a.example /store/ books unsafe 5000 1";
/// More than the sockets of both ends buffer, so that the upload is still being written.
constexpr std::size_t kUploadBytes = 8U << 20;
constexpr auto kPauseBeforeEnd = std::chrono::milliseconds(20);

enum class Ending {
    Reset, ///< The connection is reset.
    Shutdown, ///< The sending side is closed; the rest of the upload is read.
};

struct EarlyResponse {
    const char* name;
    const char* framing; ///< Sent behind the first headers.
    const char* body;
    Ending ending;
    unsigned status; ///< That the caller gets.
};

std::ostream& operator<<(std::ostream& out, const EarlyResponse& response)
{
    return out << response.name;
}

const EarlyResponse kEarlyResponses[] = {
    { "without a length, reset", "\r\n", "half", Ending::Reset, 502 },
    { "without a length and without a body, reset", "\r\n", "", Ending::Reset, 502 },
    { "without a length, ended in order", "\r\n", "whole", Ending::Shutdown, 200 },
    { "shorter than its length, reset", "Content-Length: 8\r\n\r\n", "half", Ending::Reset, 502 },
    { "shorter than its length, ended in order", "Content-Length: 8\r\n\r\n", "half", Ending::Shutdown, 502 },
    { "as long as its length, reset", "Content-Length: 5\r\n\r\n", "whole", Ending::Reset, 200 },
    { "without the last chunk, reset", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nhalf\r\n", Ending::Reset,
        502 },
    { "with all chunks, reset", "Transfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0\r\n\r\n",
        Ending::Reset, 200 },
};

/// A target that reads the head of one request, sends its response and ends it.
class EarlyTarget {
public:
    EarlyTarget(asio::io_context& loop, const EarlyResponse& response)
        : response_(response)
        , acceptor_(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , socket_(loop)
        , timer_(loop)
    {
        parser_.body_limit(2 * kUploadBytes);
        acceptor_.async_accept(socket_, [this](beast::error_code error) {
            if (!error)
                readHead();
        });
    }

    std::string address() const { return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port()); }

private:
    void readHead()
    {
        http::async_read_header(socket_, buffer_, parser_, [this](beast::error_code error, std::size_t) {
            if (error)
                return;
            bytes_ = absl::StrCat("HTTP/1.1 200 OK\r\nConnection: close\r\nJackdaw-Seal: s\r\n",
                "Jackdaw-Request-Id: ", headerValue(parser_.get(), "Jackdaw-Request-Id"), "\r\n",
                response_.framing, response_.body);
            asio::async_write(socket_, asio::buffer(bytes_), [this](beast::error_code, std::size_t) {
                // Until the caller waits for more of the response while it writes the upload.
                timer_.expires_after(kPauseBeforeEnd);
                timer_.async_wait([this](beast::error_code) { end(); });
            });
        });
    }

    void end()
    {
        if (response_.ending == Ending::Reset) {
            socket_.set_option(asio::socket_base::linger(true, 0));
            socket_.close();
            return;
        }
        socket_.shutdown(Tcp::socket::shutdown_send);
        http::async_read(socket_, buffer_, parser_, [](beast::error_code, std::size_t) {});
    }

    const EarlyResponse response_;
    Tcp::acceptor acceptor_;
    Tcp::socket socket_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    http::request_parser<http::string_body> parser_;
    std::string bytes_;
};

} // namespace

BOOST_DATA_TEST_CASE(
    aResetResponseIsNotComplete, boost::unit_test::data::make(kEarlyResponses), earlyResponse)
{
    asio::io_context loop;
    MemoryStore store(loop);
    EarlyTarget target(loop, earlyResponse);
    TestNode node(loop, store, "n1", "books", target.address());
    store.set("configuration", "main", kRoutes);
    node.start();
    node.awaitReady();
    BOOST_REQUIRE_EQUAL(node.heartbeat("/ready/t1/100/1"), 200U);
    const ExchangeResult result = node.sendAndWait(node.settings.callerAddress,
        callerRequest(http::verb::post, "/store/1", "r", std::string(kUploadBytes, 'u')));
    BOOST_TEST(result.response.result_int() == earlyResponse.status);
    BOOST_TEST((result.response.result_int() != 200U || result.response.body() == "whole"));
}
