/// The duty that keeps the membership: heartbeats to a few neighbours carry what they do not know yet, over
/// gRPC. News starts a round at once, so that it crosses the fleet in the time of a few messages.
#pragma once

#include "adapter/bounded-ring.h"
#include "generated/wire.grpc.pb.h"
#include "node/node-state.h"

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jackdawwall {

/// Control address of a node that has a newer catalogue.
struct CatalogueHint {
    std::string controlAddress;
};

/// Member records as messages, and back.
wire::Member toWire(const Member& member);
Member fromWire(const wire::Member& member);

class Gossip {
public:
    /// Starts the control port; heartbeats begin with `run`.
    static absl::StatusOr<std::unique_ptr<Gossip>> start(NodeState& node, BoundedRing<CatalogueHint>& hints);
    ~Gossip();
    Gossip(const Gossip&) = delete;
    Gossip& operator=(const Gossip&) = delete;

    /// "ip:port" of the control port in use.
    const std::string& address() const { return address_; }
    /// Starts the duty's thread.
    void run();
    /// Starts a round soon: there is news.
    void kick();
    /// Introduces this node to another one and takes over all that it knows; false without an answer.
    bool join(const std::string& controlAddress);
    /// The catalogue of another node; NotFound when it has none newer than `since`.
    absl::StatusOr<StoredObject> fetchCatalogue(const std::string& controlAddress, CatalogueVersion since);
    /// Ends the duty and the control port. Safe to call twice.
    void stop();

    struct Message;

private:
    class Service;

    Gossip(NodeState& node, BoundedRing<CatalogueHint>& hints);

    void loop();
    void runRound();
    std::vector<std::unique_ptr<Message>> prepareRound();
    bool hasNewsFor(const Member& neighbour) const;
    std::unique_ptr<Message> prepareMessage(const Member& receiver, bool wantsAll);
    void sendAll(std::vector<std::unique_ptr<Message>>& messages);
    void learn(const Message& message);
    std::shared_ptr<wire::Control::Stub> stubFor(const std::string& controlAddress);
    void keepOnlyChannelsTo(const std::vector<std::unique_ptr<Message>>& messages);

    NodeState& node_;
    BoundedRing<CatalogueHint>& hints_;
    std::unique_ptr<Service> service_;
    std::unique_ptr<grpc::Server> server_;
    std::string address_;
    std::thread thread_;
    absl::Mutex mutex_;
    bool isKicked_ = false;
    bool isStopping_ = false;
    absl::flat_hash_map<std::string, std::shared_ptr<wire::Control::Stub>> stubs_;
    absl::flat_hash_map<std::string, CatalogueVersion> toldCatalogue_; ///< Used by the duty's thread only.
    int mismatches_ = 0; ///< Rounds in a row in which a neighbour's view differed.
    std::uint64_t roundCount_ = 0;
};

} // namespace jackdawwall
