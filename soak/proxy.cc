#include "proxy.h"

#include "relay/http-listener.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace jackdawwall::soak {
namespace {

constexpr std::size_t kPieceBytes = 16U << 10;

} // namespace

class Proxy::Link : public std::enable_shared_from_this<Link> {
public:
    Link(Proxy& proxy, Tcp::socket from)
        : proxy_(proxy)
        , ways_ { Way { std::move(from), asio::steady_timer(proxy.loop_), {}, false },
            Way { Tcp::socket(proxy.loop_), asio::steady_timer(proxy.loop_), {}, false } }
    {
    }

    void start()
    {
        ways_[1].socket.async_connect(
            proxy_.destination_, [self = shared_from_this()](boost::system::error_code error) {
                if (error) {
                    self->end(true);
                    return;
                }
                self->read(0);
                self->read(1);
            });
    }

    void resume()
    {
        for (const std::size_t way : { 0, 1 }) {
            if (ways_[way].isHeld)
                pass(way);
        }
    }

    void end(bool isReset)
    {
        for (Way& way : ways_) {
            boost::system::error_code ignored;
            if (isReset)
                way.socket.set_option(asio::socket_base::linger(true, 0), ignored);
            way.socket.close(ignored);
            way.timer.cancel();
        }
        proxy_.links_.erase(shared_from_this());
    }

private:
    struct Way {
        Tcp::socket socket; ///< Where its bytes come from.
        asio::steady_timer timer;
        std::vector<char> piece;
        bool isHeld;
    };

    bool isHolding(std::size_t way) const
    {
        return way == 0 ? proxy_.faults_.holdsForward : proxy_.faults_.holdsBack;
    }

    void read(std::size_t way)
    {
        ways_[way].piece.resize(kPieceBytes);
        ways_[way].socket.async_read_some(asio::buffer(ways_[way].piece),
            [self = shared_from_this(), way](boost::system::error_code error, std::size_t bytes) {
                self->ways_[way].piece.resize(bytes);
                self->ways_[way].isHeld = true;
                if (error == asio::error::operation_aborted)
                    return;
                if (error && error != asio::error::eof)
                    self->end(true);
                else
                    self->pass(way);
            });
    }

    void pass(std::size_t way)
    {
        if (isHolding(way))
            return;
        ways_[way].isHeld = false;
        ways_[way].timer.expires_after(absl::ToChronoMicroseconds(proxy_.faults_.delay));
        ways_[way].timer.async_wait([self = shared_from_this(), way](boost::system::error_code error) {
            if (!error)
                self->write(way);
        });
    }

    void write(std::size_t way)
    {
        Way& from = ways_[way];
        Way& to = ways_[1 - way];
        if (from.piece.empty()) { // End of the stream.
            end(false);
            return;
        }
        asio::async_write(to.socket, asio::buffer(from.piece),
            [self = shared_from_this(), way](boost::system::error_code error, std::size_t) {
                if (error)
                    self->end(true);
                else
                    self->read(way);
            });
    }

    Proxy& proxy_;
    std::array<Way, 2> ways_;
};

Proxy::Proxy(asio::io_context& loop, Tcp::acceptor acceptor, Tcp::endpoint destination)
    : loop_(loop)
    , acceptor_(std::move(acceptor))
    , destination_(std::move(destination))
{
    accept();
}

Proxy::~Proxy()
{
    resetAll();
}

std::string Proxy::address() const
{
    return relay::localAddress(acceptor_);
}

void Proxy::accept()
{
    acceptor_.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
        if (error)
            return;
        const auto link = std::make_shared<Link>(*this, std::move(socket));
        links_.insert(link);
        link->start();
        accept();
    });
}

void Proxy::setFaults(const LinkFaults& faults)
{
    faults_ = faults;
    const auto links = links_;
    for (const auto& link : links)
        link->resume();
}

void Proxy::resetAll()
{
    const auto links = links_;
    for (const auto& link : links)
        link->end(true);
}

} // namespace jackdawwall::soak
