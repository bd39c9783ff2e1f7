#include "proxy.h"

#include "relay/http-listener.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace jackdawwall::soak {
namespace {

constexpr std::size_t kChunkBytes = 16U << 10;

} // namespace

class Proxy::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Proxy& proxy, Tcp::socket from)
        : proxy_(proxy)
        , directions_ { Direction { std::move(from), asio::steady_timer(proxy.loop_), {}, false },
            Direction { Tcp::socket(proxy.loop_), asio::steady_timer(proxy.loop_), {}, false } }
    {
    }

    void start()
    {
        directions_[1].socket.async_connect(
            proxy_.destination_, [self = shared_from_this()](boost::system::error_code error) {
                if (error) {
                    self->closeBoth(true);
                    return;
                }
                self->read(0);
                self->read(1);
            });
    }

    void resume()
    {
        for (const std::size_t direction : { 0, 1 }) {
            if (directions_[direction].isPending)
                forward(direction);
        }
    }

    void silence() { isSilent_ = true; }

    void closeBoth(bool isReset)
    {
        for (Direction& direction : directions_) {
            boost::system::error_code ignored;
            if (isReset)
                direction.socket.set_option(asio::socket_base::linger(true, 0), ignored);
            direction.socket.close(ignored);
            direction.timer.cancel();
        }
        proxy_.connections_.erase(shared_from_this());
    }

private:
    struct Direction {
        Tcp::socket socket; ///< The source of its data.
        asio::steady_timer timer;
        std::vector<char> chunk;
        bool isPending;
    };

    bool isBlocked(std::size_t direction) const
    {
        return direction == 0 ? proxy_.faults_.blocksForward : proxy_.faults_.blocksBackward;
    }

    void read(std::size_t direction)
    {
        directions_[direction].chunk.resize(kChunkBytes);
        directions_[direction].socket.async_read_some(asio::buffer(directions_[direction].chunk),
            [self = shared_from_this(), direction](boost::system::error_code error, std::size_t bytes) {
                self->directions_[direction].chunk.resize(bytes);
                self->directions_[direction].isPending = true;
                if (error == asio::error::operation_aborted)
                    return;
                if (error && error != asio::error::eof)
                    self->closeBoth(true);
                else if (self->isSilent_ && !error)
                    self->read(direction);
                else
                    self->forward(direction);
            });
    }

    void forward(std::size_t direction)
    {
        if (isBlocked(direction) || isSilent_)
            return;
        directions_[direction].isPending = false;
        directions_[direction].timer.expires_after(absl::ToChronoMicroseconds(proxy_.faults_.delay));
        directions_[direction].timer.async_wait(
            [self = shared_from_this(), direction](boost::system::error_code error) {
                if (!error)
                    self->write(direction);
            });
    }

    void write(std::size_t direction)
    {
        Direction& from = directions_[direction];
        Direction& to = directions_[1 - direction];
        if (from.chunk.empty()) { // End of the stream.
            closeBoth(false);
            return;
        }
        asio::async_write(to.socket, asio::buffer(from.chunk),
            [self = shared_from_this(), direction](boost::system::error_code error, std::size_t) {
                if (error)
                    self->closeBoth(true);
                else
                    self->read(direction);
            });
    }

    Proxy& proxy_;
    std::array<Direction, 2> directions_;
    bool isSilent_ = false;
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
        const auto connection = std::make_shared<Connection>(*this, std::move(socket));
        connections_.insert(connection);
        connection->start();
        accept();
    });
}

void Proxy::setFaults(const LinkFaults& faults)
{
    faults_ = faults;
    const auto connections = connections_;
    for (const auto& connection : connections)
        connection->resume();
}

void Proxy::resetAll()
{
    const auto connections = connections_;
    for (const auto& connection : connections)
        connection->closeBoth(true);
}

void Proxy::silenceAll()
{
    for (const auto& connection : connections_)
        connection->silence();
}

} // namespace jackdawwall::soak
