/// Stand-in for the platform's store: objects by kind and name, revisions, conditions, and watches.
#pragma once

#include "net.hpp"

#include <condition_variable>
#include <json/json.h>

namespace review {

class Store {
public:
    explicit Store(const Endpoint& address);
    ~Store();

    /// The operator's write: creates or replaces `spec` of an object.
    void put(const std::string& kind, const std::string& name, const Json::Value& spec);
    Json::Value spec(const std::string& kind, const std::string& name);

private:
    struct Object {
        Json::Value value;
        std::uint64_t revision = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        Json::Value value;
        bool isDeleted = false;
    };

    void serve(Connection& connection);
    std::string respond(const Message& request);
    std::string list(const std::string& kind, const std::string& after);
    std::string watch(const std::string& kind, std::uint64_t after, std::int64_t waitMs);
    std::string write(const Message& request, const std::string& kind, std::string name, bool isStatus);
    void store(const std::string& kind, const std::string& name, Json::Value value);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::vector<Event> events_;
    std::uint64_t revision_ = 100;
    bool isStopping_ = false;
    Server server_;
};

Json::Value parseJson(const std::string& text);
std::string toText(const Json::Value& value);

} // namespace review
