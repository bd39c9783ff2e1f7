/// A loopback TCP proxy that injects faults: it delays data, blocks one or both directions, resets
/// connections, and silences them.
#pragma once

#include "relay/message.h"

#include "absl/time/time.h"

#include <memory>
#include <set>
#include <string>

namespace jackdawwall::soak {

using relay::Tcp;
namespace asio = relay::asio;

/// Faults that the proxy applies to all its connections.
struct LinkFaults {
    absl::Duration delay; ///< Added to each chunk, in both directions.
    bool blocksForward = false; ///< Silently withholds the connecting side's data.
    bool blocksBackward = false; ///< Silently withholds the destination's data.
};

class Proxy {
public:
    Proxy(asio::io_context& loop, Tcp::acceptor acceptor, Tcp::endpoint destination);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    std::string address() const;
    void setFaults(const LinkFaults& faults);
    /// Closes all connections with a TCP reset.
    void resetAll();
    /// Discards all further data of the connections that are open now, while the kernels go on acknowledging
    /// it. New connections work.
    void silenceAll();

private:
    class Connection;

    void accept();

    asio::io_context& loop_;
    Tcp::acceptor acceptor_;
    Tcp::endpoint destination_;
    LinkFaults faults_;
    std::set<std::shared_ptr<Connection>> connections_;
};

} // namespace jackdawwall::soak
