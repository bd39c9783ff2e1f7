/// A small deployment on loopback: real nodes as processes, targets, the store, and a proxy on each link of a
/// node (from other nodes, to its target, to the store).
#pragma once

#include "process.h"
#include "proxy.h"
#include "store.h"
#include "target.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace jackdawwall::soak {

enum class LinkKind : std::uint8_t { FromPeers, ToTarget, ToStore };
inline constexpr std::size_t kLinkKinds = 3;

/// One node with its target and links.
struct Member {
    std::string name;
    std::string service;
    std::string callerAddress;
    std::string readyAddress;
    std::unique_ptr<Target> target;
    std::array<std::unique_ptr<Proxy>, kLinkKinds> links;
    std::unique_ptr<Process> process;
    int startCount = 0; ///< Counts its starts.
    absl::Time disturbedUntil = absl::InfinitePast(); ///< Bounds do not hold for it before.
    absl::Time linkDisturbedUntil = absl::InfinitePast(); ///< The same for the link to its target.
    absl::Time stopSentAt = absl::InfiniteFuture(); ///< A planned stop is under way.
    bool isKillExpected = false;
    bool isReady = false;
    int readyMisses = 0;
};

struct FleetOptions {
    std::string program;
    std::string folder; ///< For settings and logs.
    std::uint64_t seed = 1;
};

class Fleet {
public:
    Fleet(relay::asio::io_context& loop, Record& record, const FleetOptions& options);

    std::vector<std::unique_ptr<Member>> members;
    std::unique_ptr<Store> store;
    absl::Time storeDisturbedUntil = absl::InfinitePast();

    void startAll();
    /// Writes the next configuration: routes "/v<version>/" and "/v<version - 1>/" beside the lasting ones.
    void configure();
    std::uint64_t version() const { return version_; }
    absl::Time configuredAt() const { return configuredAt_; }
    /// Notes that bounds do not hold for a node until `time` after now.
    void disturb(Member& member, absl::Duration time);
    /// Restarts what ended; reports processes that ended by themselves.
    void superviseProcesses();

private:
    void addMember(int index);
    std::string settingsFor(
        const Member& member, const std::string& heartbeat, const std::string& peer) const;

    relay::asio::io_context& loop_;
    Record& record_;
    const FleetOptions options_;
    /// Bound and never listened on: a process may take its address again after a restart, nobody else.
    std::vector<relay::Tcp::acceptor> reserved_;
    std::uint64_t version_ = 0;
    absl::Time configuredAt_;
};

} // namespace jackdawwall::soak
