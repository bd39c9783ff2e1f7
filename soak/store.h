/// In-memory stand-in for the platform's store that can inject faults. The driver writes configurations to it
/// directly, in place of an operator.
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
    bool isDown = false; ///< Responds with 503.
    bool isSilent = false; ///< Accepts requests without responding.
    absl::Duration delay;
    double lostResponseProbability = 0; ///< For writes, which are applied but get no response.
};

class Store {
public:
    Store(relay::asio::io_context& loop, relay::Tcp::acceptor acceptor, std::uint64_t seed);

    StoreFaults faults;

    std::string address() const { return address_; }
    void put(const std::string& kind, const std::string& name, const Json::Value& content);
    /// Adds the entries of another writer to a kind: valid JSON that this project would never write.
    void addForeignEntries(const std::string& kind);
    /// Drops the history of changes up to now: watches that start at an earlier revision get 410 (Gone).
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
    void respond(const relay::IncomingRequestPtr& incoming, const relay::Response& response);
    relay::Response write(
        const relay::IncomingRequestPtr& incoming, const std::string& kind, std::string name);
    relay::Response list(const std::string& kind);
    void watch(const relay::IncomingRequestPtr& incoming, const std::string& kind);
    void serveWatches();
    Json::Value changes(const std::string& kind, std::uint64_t after) const;
    /// Inserts the foreign entries of a kind that changed after a revision at the start of a reply's array.
    std::string addForeignEntries(std::string reply, const std::string& kind, std::uint64_t after) const;

    relay::asio::io_context& loop_;
    std::string address_;
    relay::asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldestRevision_ = 1;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::map<std::string, std::uint64_t> foreignSince_; ///< By kind; revision of the foreign entries.
    std::list<Watch> watches_;
    relay::HttpListener listener_;
};

} // namespace jackdawwall::soak
