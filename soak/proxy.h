/// A loopback proxy that delays, holds back one way or both, and resets what passes through it.
#pragma once

#include "relay/message.h"

#include "absl/time/time.h"

#include <memory>
#include <set>
#include <string>

namespace jackdawwall::soak {

using relay::Tcp;
namespace asio = relay::asio;

/// What the proxy does to the bytes of all its connections.
struct LinkFaults {
    absl::Duration delay; ///< Added to each piece, either way.
    bool blocksForward = false; ///< Nothing gets from the connecting side to the other, without notice.
    bool blocksBackward = false;
};

class Proxy {
public:
    Proxy(asio::io_context& loop, Tcp::acceptor acceptor, Tcp::endpoint destination);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    std::string address() const;
    void setFaults(const LinkFaults& faults);
    void resetAll();

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
