/// Limits that hold over all ports of a process: the connections that each accepts, and which of them give
/// way when the memory for connections is used up. Counts and logs what the ports reject and close.
#pragma once

#include "relay/http-listener.h"
#include "relay/relay-state.h"

#include <vector>

namespace jackdawwall::relay {

class PortLimits {
public:
    explicit PortLimits(RelayState& state);
    PortLimits(const PortLimits&) = delete;
    PortLimits& operator=(const PortLimits&) = delete;
    ~PortLimits();

    /// Adds a port, which accepts up to `share` of the descriptors as connections, but at least `minimum`.
    void add(HttpListener& listener, const char* name, double share, std::size_t minimum = 0);
    /// The ports of other nodes and of the target have a reserved part of the memory, callers do not.
    void setCallerPort(HttpListener& listener) { callers_ = { &listener }; }
    /// Applies the limits of the settings; call it after they change and after HttpListener::setLimits.
    void update();

private:
    struct Port {
        HttpListener* listener;
        const char* name;
        double share;
        std::size_t minimum;
    };

    std::size_t connectionCount() const;
    void recordRejected(const char* port, const RejectedRequest& rejected);
    void recordClosed(const char* port, const ClosedConnection& closed);

    RelayState& state_;
    std::vector<Port> ports_;
    std::vector<const HttpListener*> all_;
    std::vector<const HttpListener*> callers_;
};

} // namespace jackdawwall::relay
