/// The duties that talk to the platform: finding the first peers, watching the catalogue on a few nodes, and
/// taking over newer catalogues that peers have.
#pragma once

#include "adapter/bounded-ring.h"
#include "node/gossip.h"
#include "node/node-state.h"

#include "absl/synchronization/mutex.h"

#include <string>
#include <thread>

namespace jackdawwall {

/// What a node writes to the platform so that starting nodes and operators find it.
struct SeedRecord {
    std::string controlAddress;
    std::string operatorAddress;
};

/// Key prefix of the seed records: "seeds/<data centre>/<slot>".
inline constexpr const char* kSeedPrefix = "seeds/";

std::string writeSeed(const SeedRecord& seed);
/// Empty addresses when the text is not a seed record.
SeedRecord readSeed(const std::string& text);

class PlatformDuty {
public:
    PlatformDuty(
        NodeState& node, Gossip& gossip, BoundedRing<CatalogueHint>& hints, std::string operatorAddress);
    ~PlatformDuty();
    PlatformDuty(const PlatformDuty&) = delete;
    PlatformDuty& operator=(const PlatformDuty&) = delete;

    void run();
    /// Ends the duties; a watch under way is broken off. Safe to call twice.
    void stop();

private:
    void platformLoop();
    void hintLoop();
    void readCatalogue();
    void watchCatalogue();
    void findPeers();
    void offerSeed();
    bool isAlone();
    /// Position of this node among the live members that `counts`, by hash.
    std::size_t rankAmong(bool onlyOwnDataCentre);
    /// Waits; true when stopping.
    bool pause(absl::Duration time);

    NodeState& node_;
    Gossip& gossip_;
    BoundedRing<CatalogueHint>& hints_;
    const std::string operatorAddress_;
    absl::Mutex mutex_;
    bool isStopping_ = false;
    std::thread platformThread_;
    std::thread hintThread_;
};

} // namespace jackdawwall
