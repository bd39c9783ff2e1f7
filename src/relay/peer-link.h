/// Keeps nodes informed of each other: rounds of news with a few neighbours, the newest configuration along
/// with them, and news of this node's own target told at once.
#pragma once

#include "relay/http-listener.h"
#include "relay/relay-state.h"

#include <functional>
#include <vector>

namespace jackdawwall::relay {

/// Calls back into the node.
struct PeerLinkEvents {
    /// Another node told a newer configuration.
    std::function<void(const std::string& document)> onConfiguration;
    /// Another node told what an earlier run of this one acknowledged, or that there is nothing.
    std::function<void(const std::optional<Lifetime>& left)> onPreviousLeave;
};

class PeerLink {
public:
    PeerLink(RelayState& state, PeerLinkEvents events);

    /// Starts the rounds.
    void start();
    /// A message of another node.
    void accept(const IncomingRequestPtr& incoming);
    /// Starts a round now; `told` is called once when a neighbour has taken the news in.
    void announce(std::function<void()> onAcknowledged = nullptr);
    /// Takes in members from the store.
    void addMembers(const std::vector<Member>& members);

private:
    struct Neighbour {
        std::string runId; ///< Names one run of its process.
        RouteVersion configurationVersion = 0;
        std::uint64_t appliedUpTo = 0; ///< Change number of its news that this node took in.
        bool isRequestPending = false; ///< A message to it is under way.
    };

    void runRound();
    void sendUpdate(const std::string& address);
    void onReply(const std::string& address, std::uint64_t upTo, const ExchangeResult& result);
    std::string encodeUpdate(const std::string& address, bool isReply, std::uint64_t& upTo);
    bool applyMessage(const std::string& body, std::string& sender);
    void merge(const std::vector<Member>& reported);
    void resetIfRestarted(const std::string& address, const std::string& runId);

    RelayState& state_;
    PeerLinkEvents events_;
    asio::steady_timer timer_;
    std::string runId_;
    std::map<std::string, Neighbour> neighbours_;
    /// Callbacks by the change number that a neighbour has to take in.
    std::vector<std::pair<std::uint64_t, std::function<void()>>> pendingAnnouncements_;
};

} // namespace jackdawwall::relay
