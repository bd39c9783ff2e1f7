/// Gossip between nodes: periodic rounds exchange membership updates and the newest configuration with a few
/// neighbours; changes of the local target are sent immediately.
#pragma once

#include "relay/callback-guard.h"
#include "relay/http-listener.h"
#include "relay/relay-state.h"

#include <functional>
#include <vector>

namespace jackdawwall::relay {

/// Calls back into the node.
struct PeerLinkEvents {
    /// The node at `sender` sent a newer configuration.
    std::function<void(const std::string& document, const std::string& sender)> onConfiguration;
    /// Another node sent the last leave that it knows of an earlier process of this node; empty if it knows
    /// none. `isComplete`: it ran early enough to know of every leave whose target may still be taken for
    /// ready.
    std::function<void(const std::optional<Lifetime>& left, bool isComplete)> onPreviousLeave;
    /// Another node knows a later era of the store.
    std::function<void(std::uint64_t era)> onStoreEra;
};

class PeerLink {
public:
    PeerLink(RelayState& state, PeerLinkEvents events);

    /// Starts the rounds.
    void start();
    /// Handles a message from another node.
    void accept(const IncomingRequestPtr& incoming);
    /// Starts a round now. `onAcknowledged` is called once, when all neighbours that are alive have
    /// acknowledged the update, at least one.
    void announce(std::function<void()> onAcknowledged = nullptr);
    /// Merges members read from the store.
    void addMembers(const std::vector<Member>& members);

private:
    struct Neighbour {
        std::string runId; ///< Identifies one run of its process.
        RouteVersion configurationVersion = 0;
        std::uint64_t appliedUpTo = 0; ///< Number of its latest change that this node has applied.
        bool isRequestPending = false; ///< A request to it is in progress.
    };

    /// What an update contained.
    struct SentUpdate {
        std::uint64_t upTo = 0; ///< Number of the latest change of a member.
        RouteVersion version = 0; ///< Of the configuration when it was sent.
    };

    void runRound();
    /// Sends an update to the neighbours that are due in this round.
    void sendRound();
    /// True if the neighbour lacks a change or the configuration.
    bool isBehind(const std::string& address);
    void sendUpdate(const std::string& address);
    void onReply(const std::string& address, const SentUpdate& sent, const ExchangeResult& result);
    std::string encodeUpdate(const std::string& address, bool isReply, std::uint64_t& upTo);
    bool applyMessage(const std::string& body, std::string& sender);
    void merge(const std::vector<Member>& reported);
    bool hasReachedNeighbours(std::uint64_t change) const;
    /// Calls back for the announcements that have reached all neighbours.
    void completeAnnouncements();
    absl::Duration uptime() const;
    void resetIfRestarted(const std::string& address, const std::string& runId);

    RelayState& state_;
    PeerLinkEvents events_;
    asio::steady_timer timer_;
    std::string runId_;
    absl::Time startedAt_ = steadyNow();
    unsigned round_ = 0;
    std::map<std::string, Neighbour> neighbours_;
    CallbackGuard guard_;
    /// Callbacks of announce, each with the change number that the neighbours have to acknowledge first.
    std::vector<std::pair<std::uint64_t, std::function<void()>>> pendingAnnouncements_;
};

} // namespace jackdawwall::relay
