/// A node on one event loop: its listeners, gossip, store synchronization, and planned stop.
#pragma once

#include "jackdawwall/watcher-selection.h"
#include "relay/callback-guard.h"
#include "relay/caller-gate.h"
#include "relay/lease-link.h"
#include "relay/peer-link.h"
#include "relay/platform-port.h"
#include "relay/port-limits.h"
#include "relay/process-memory.h"
#include "relay/store-sync.h"

#include <memory>
#include <optional>

namespace jackdawwall::relay {

class RelayNode {
public:
    /// Binds all ports; throws boost::system::system_error when one can't be bound.
    RelayNode(asio::io_context& loop, RelaySettings settings, PlatformPort port, CallInterface interface);

    /// The current settings, with the port numbers that were bound.
    const RelaySettings& settings() const { return state_.settings; }
    RouteVersion configurationVersion() const { return state_.configuration.version; }
    const Member& self() const { return localMember(state_); }
    /// Number of nodes known to accept new work, including this one.
    std::size_t servingMemberCount() const;
    /// Number of known members, including this one.
    std::size_t memberCount() const { return state_.decisions.membership.members.size(); }
    /// See rankAmongMembers.
    std::size_t rank() const { return rankAmongMembers(state_.decisions.membership); }
    /// See applySettings.
    void reload(const RelaySettings& newSettings);
    /// Adds a peer before any message from it has arrived.
    void addPeer(const std::string& peerAddress);
    /// Applies a configuration document if it is newer and announces it to other nodes. `source`, for the
    /// log: "store", "operator" or the address of a node. False if it is invalid.
    bool onConfiguration(const std::string& document, absl::string_view source);

    /// Begins a planned stop: rejects new callers, completes the requests in progress, then ends the loop.
    void stop();

private:
    /// Acceptors of all ports. Opened before the other members are constructed, as these need the port
    /// numbers that the kernel may choose.
    struct Ports {
        Ports(asio::io_context& loop, RelaySettings nodeSettings);

        RelaySettings settings; ///< With the port numbers that were bound.
        Tcp::acceptor callers;
        Tcp::acceptor peers;
        std::optional<Tcp::acceptor> ready;
        std::optional<Tcp::acceptor> heartbeats;
        std::optional<Tcp::acceptor> operators;
    };

    RelayNode(asio::io_context& loop, Ports ports, PlatformPort port, CallInterface interface);

    void onCallerRequest(const IncomingRequestPtr& incoming);
    void onPeerRequest(const IncomingRequestPtr& incoming);
    void onReadyRequest(const IncomingRequestPtr& incoming) const;
    void onOperatorRequest(const IncomingRequestPtr& incoming);
    void onTargetRequest(const IncomingRequestPtr& incoming);
    void onLeave(const IncomingRequestPtr& incoming);
    /// Restores a leave that an earlier process acknowledged. `isComplete`: there is no later one.
    void onPreviousLeave(const std::optional<Lifetime>& left, bool isComplete);
    /// The record of earlier processes was written before the store came back from a copy.
    void onOutdatedRecord();
    void onRegistered(StoreRevision revision);
    void onStoreReachabilityChanged();
    /// Treats the target as ready; for targets that send no heartbeats.
    void assumeTargetReady();
    /// Passes the current state of the target to the gate and to other members.
    void onTargetChanged();
    void logTarget() const;
    /// Applies that the target has said in a response that it leaves.
    void onTargetLeaves(const Lifetime& lifetime);
    void updateLocalMember(std::uint64_t minimumIncarnation);
    void tick();
    void checkStopProgress();

    asio::io_context& loop_;
    RelayState state_;
    PlatformPort port_;
    LeaseLink leaseLink_;
    CallerGate callerGate_;
    PeerLink peerLink_;
    StoreSync storeSync_;
    HttpListener callerListener_;
    HttpListener peerListener_;
    std::optional<HttpListener> readyListener_;
    std::optional<HttpListener> heartbeatListener_;
    std::optional<HttpListener> operatorListener_;
    PortLimits portLimits_;
    MemoryTrimmer memoryTrimmer_;
    asio::steady_timer tickTimer_;
    absl::Time stopStartedAt_;
    bool isRecordOutdated_ = false; ///< See onOutdatedRecord.
    int ticksRefusingCallers_ = 0; ///< Ticks since the node began to reject callers.
    CallbackGuard guard_;
};

} // namespace jackdawwall::relay
