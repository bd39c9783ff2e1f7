/// Stand-in for the users' platform's store, with faults. The operator writes to it directly.
#pragma once

#include "relay/http-listener.h"

#include "absl/time/time.h"

#include <json/json.h>

#include <cstdint>
#include <list>
#include <map>
#include <random>
#include <string>

namespace jackdawwall::soak {

struct StoreFaults {
    bool isDown = false; ///< Answers 503.
    bool isSilent = false; ///< Takes calls and does not answer.
    absl::Duration delay;
    double lostShare = 0; ///< Of the writes: done and not answered.
};

class Store {
public:
    Store(relay::asio::io_context& loop, relay::Tcp::acceptor acceptor, std::uint64_t seed);

    StoreFaults faults;

    std::string address() const { return address_; }
    void put(const std::string& kind, const std::string& name, const Json::Value& content);
    /// Forgets all changes up to now: watches from before are answered that their history is gone.
    void dropHistory();

private:
    struct Object {
        std::uint64_t revision = 0;
        Json::Value content;
    };
    struct Watch {
        std::string kind;
        std::uint64_t after;
        absl::Time until;
        relay::IncomingRequestPtr incoming;
    };

    void onRequest(const relay::IncomingRequestPtr& incoming);
    void answer(const relay::IncomingRequestPtr& incoming, const relay::Response& response);
    relay::Response write(
        const relay::IncomingRequestPtr& incoming, const std::string& kind, std::string name);
    relay::Response list(const std::string& kind);
    void watch(const relay::IncomingRequestPtr& incoming, const std::string& kind);
    void serveWatches();
    Json::Value changes(const std::string& kind, std::uint64_t after) const;

    relay::asio::io_context& loop_;
    std::string address_;
    relay::asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldestKnown_ = 1;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::list<Watch> watches_;
    relay::HttpListener listener_;
};

} // namespace jackdawwall::soak
