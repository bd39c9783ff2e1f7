/// A node on one event loop: its ports, its dealings with other nodes and the store, and its planned stop.
#pragma once

#include "relay/caller-gate.h"
#include "relay/peer-link.h"
#include "relay/platform-port.h"
#include "relay/store-duty.h"

#include <memory>

namespace jackdawwall::relay {

class RelayNode {
public:
    /// Binds all ports; throws boost::system::system_error when one can't be bound.
    RelayNode(asio::io_context& loop, RelaySettings settings, PlatformPort port);

    /// Begins a planned stop: takes no new callers, ends what is in flight, then ends the loop.
    void stop();

private:
    void onCallerRequest(const IncomingPtr& incoming);
    void onPeerRequest(const IncomingPtr& incoming);
    void onReadyRequest(const IncomingPtr& incoming) const;
    void onMetricsRequest(const IncomingPtr& incoming) const;
    void onTargetRequest(const IncomingPtr& incoming);
    void onLeave(const TargetChange& change, const IncomingPtr& incoming);
    void onConfiguration(const std::string& document);
    void onPast(const std::optional<Lifetime>& left);
    void onRegistered(StoreRevision revision);
    /// Tells gate and members what is believed of the target now.
    void targetChanged();
    void updateSelf(std::uint64_t leastIncarnation);
    void tick();
    void checkStopped();

    asio::io_context& loop_;
    RelayState state_;
    PlatformPort port_;
    CallerGate callerGate_;
    PeerLink link_;
    StoreDuty store_;
    HttpListener callers_;
    HttpListener peers_;
    HttpListener ready_;
    HttpListener heartbeats_;
    HttpListener metrics_;
    asio::steady_timer tickTimer_;
    absl::Time stoppingSince_;
};

} // namespace jackdawwall::relay
