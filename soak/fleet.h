/// A small deployment on loopback: node processes, a target for each node, the store, and proxies on the
/// links of each node (from other nodes, to its target, to the store).
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
inline constexpr std::size_t kLinkKindCount = 3;

/// One node with its target and links.
struct Member {
    std::string name;
    std::string service;
    std::string callerAddress;
    std::string readyAddress;
    std::unique_ptr<Target> target;
    std::array<std::unique_ptr<Proxy>, kLinkKindCount> links;
    std::unique_ptr<Process> process;
    int startCount = 0; ///< Of its process.
    absl::Time disturbedUntil = absl::InfinitePast(); ///< Until then, limits are not checked for this node.
    absl::Time linkDisturbedUntil = absl::InfinitePast(); ///< Likewise for the link to its target.
    absl::Time stopSentAt = absl::InfiniteFuture(); ///< Start of a planned stop; infinite otherwise.
    bool isKillExpected = false;
    bool isReady = false;
    int failedReadinessChecks = 0;
};

struct FleetOptions {
    std::string program;
    std::string folder; ///< Where settings and logs are written.
    std::uint64_t seed = 1;
};

class Fleet {
public:
    Fleet(relay::asio::io_context& loop, Record& record, const FleetOptions& options);

    std::vector<std::unique_ptr<Member>> members;
    std::unique_ptr<Store> store;
    absl::Time storeDisturbedUntil = absl::InfinitePast();

    void startAll();
    /// Puts the next configuration version into the store: the permanent routes, "/v<version>/" and
    /// "/v<version - 1>/".
    void configure();
    std::uint64_t version() const { return version_; }
    absl::Time configuredAt() const { return configuredAt_; }
    /// Suspends the limits for a node during a fault of duration `time` and the recovery after it.
    void disturb(Member& member, absl::Duration time);
    /// Restarts processes that exited. Reports those that exited unexpectedly; kills and reports those that
    /// exceeded the time limit of a planned stop.
    void superviseProcesses();

private:
    void addMember(int index);
    std::string settingsFor(
        const Member& member, const std::string& heartbeat, const std::string& peer) const;

    relay::asio::io_context& loop_;
    Record& record_;
    const FleetOptions options_;
    /// Sockets that are bound but never listen. They reserve the addresses of the node processes, so that a
    /// restarted process can bind its address again and no other program can take it.
    std::vector<relay::Tcp::acceptor> reserved_;
    std::uint64_t version_ = 0;
    absl::Time configuredAt_;
};

} // namespace jackdawwall::soak
