/// A target under a driver's control: says what it is to the node beside it, runs requests for a while, and
/// spoils, loses or refuses answers when told to.
#pragma once

#include "record.h"
#include "relay/http-listener.h"
#include "relay/upstream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace jackdawwall::soak {

/// What a target does wrong, by the share of its answers.
enum class Misdeed : std::uint8_t { None, LoseAnswer, CutAnswer, SecondAnswer, Unframed, Refuse, Hang, Slow };

class Target {
public:
    /// `name` and a number name its lifetimes; heartbeats go to `heartbeatAddress`.
    Target(relay::asio::io_context& loop, Record& record, std::string name, std::string service,
        relay::Tcp::acceptor acceptor, std::string heartbeatAddress, std::uint64_t seed);
    ~Target();
    Target(const Target&) = delete;
    Target& operator=(const Target&) = delete;

    std::string address() const { return relay::localAddress(acceptor_); }
    std::string lifetime() const;
    void setMisdeed(Misdeed misdeed, double share);
    /// Announces that it leaves, by a heartbeat or by its last word; a new lifetime begins after `drainTime`.
    void leave(bool hasNoDraining, absl::Duration drainTime);
    /// Ends at once and breaks its connections; a new lifetime begins after `downTime`.
    void crash(absl::Duration downTime);
    /// True while the way from the node beside it is disturbed, or was a moment ago.
    std::function<bool()> isHeldUp = [] { return false; };
    /// When its work on a request will end; empty when it does not work on it.
    std::optional<absl::Time> workEnd(const std::string& id) const;
    bool isSound() const { return misdeed_ == Misdeed::None && state_ == State::Ready; }

private:
    enum class State : std::uint8_t { Ready, Draining, Left, Down };
    class Connection;

    void accept();
    void beat();
    void say(const std::string& query, bool isLeave);
    void begin();

    relay::asio::io_context& loop_;
    Record& record_;
    const std::string name_;
    const std::string service_;
    relay::Tcp::acceptor acceptor_;
    const std::string heartbeatAddress_;
    std::mt19937_64 random_;
    relay::UpstreamPool pool_;
    relay::asio::steady_timer beatTimer_;
    relay::asio::steady_timer endTimer_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::multimap<std::string, absl::Time> works_; ///< Under way, with their ends.
    State state_ = State::Ready;
    Misdeed misdeed_ = Misdeed::None;
    double misdeedShare_ = 0;
    int number_ = 0;
    std::uint64_t bornMs_ = 0;
    std::uint64_t sequence_ = 0;
};

/// The body that a target gives for a request, so that callers can tell whose it is and whether it is whole.
std::string bodyFor(const std::string& id);

} // namespace jackdawwall::soak
