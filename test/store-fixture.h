/// Fixture that serves the platform's store over HTTP on the test's event loop. Replies are assembled as
/// text, so that they can hold entries that no decoder of this project would write.
#pragma once

#include "decode.h"
#include "object-store.h"
#include "relay-fixture.h"

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace jackdawwall::relay::test {

/// The store of one fleet. Watches end when the kind changes; connections can fall silent.
class HttpStore {
public:
    explicit HttpStore(asio::io_context& loop)
        : server_(loop, ScriptedTarget::AsyncScript([this](const Request& request, auto done) {
            onRequest(request, done);
        }))
    {
    }

    std::string address() const { return server_.address(); }

    /// Sets the content of an object and ends the watches of its kind.
    void set(const std::string& kind, const std::string& name, const std::string& spec)
    {
        objects_[kind][name] = { ++revision_,
            absl::StrCat(R"({"metadata":{"name":")", name, R"(","revision":)", revision_, R"(},"spec":)",
                spec, R"(,"status":{}})") };
        for (const Watch& watch : std::exchange(watches_, {})) {
            if (watch.kind == kind)
                watch.done(reply("events", kind, watch.after));
            else
                watches_.push_back(watch);
        }
    }

    /// What the store holds at a moment.
    struct Copy;
    Copy copy() const;
    /// Comes back from a copy: later changes are gone, and their revisions are given out again.
    void restore(const Copy& copy);

    /// Content of an object as the store sends it; empty if there is none.
    std::string content(const std::string& kind, const std::string& name) const
    {
        const auto objects = objects_.find(kind);
        if (objects == objects_.end() || !objects->second.contains(name))
            return "";
        return objects->second.at(name).text;
    }

    StoreRevision revision() const { return revision_; }
    /// Number of watches that wait for a change.
    std::size_t watching() const { return watches_.size(); }

    /// Never responds again on the connections that are open now. New connections work.
    void silenceConnections()
    {
        silentUpTo_ = server_.connectionsOpened;
        watches_.clear();
    }

    bool isUnavailable = false; ///< Responds with 503.
    /// The waits that watches of a kind asked for.
    std::vector<absl::Duration> waits;

private:
    struct Object {
        StoreRevision revision = 0;
        std::string text; ///< As the store sends it.
    };
    struct Watch {
        std::string kind;
        StoreRevision after;
        std::function<void(TargetResponse)> done;
    };

    TargetResponse response(absl::string_view status, const std::string& body = "") const
    {
        return { absl::StrCat("HTTP/1.1 ", status, "\r\nStore-Era: ", era_,
            "\r\nContent-Length: ", body.size(), "\r\n\r\n", body) };
    }
    TargetResponse ok(const std::string& body) const { return response("200 OK", body); }
    TargetResponse unavailable() const { return response("503 Service Unavailable"); }

    TargetResponse reply(const std::string& list, const std::string& kind, StoreRevision after)
    {
        std::vector<std::string> entries;
        for (const auto& [name, object] : objects_[kind]) {
            if (list == "items")
                entries.push_back(object.text);
            else if (object.revision > after)
                entries.push_back(absl::StrCat(R"({"deleted":false,"object":)", object.text, "}"));
        }
        return ok(absl::StrCat("{\"", list, "\":[", absl::StrJoin(entries, ","),
            R"(],"has_more":false,"at_rev":)", revision_, "}"));
    }

    void onRequest(const Request& request, const std::function<void(TargetResponse)>& done)
    {
        if (server_.latestConnection <= silentUpTo_)
            return;
        if (isUnavailable) {
            done(unavailable());
            return;
        }
        const std::string target(request.target());
        const std::string path = target.substr(target.find("objects/") + 8);
        const std::vector<std::string> parts = absl::StrSplit(path.substr(0, path.find('?')), '/');
        if (request.method() != http::verb::get) {
            put(request, parts[0], done);
        } else if (const std::size_t position = target.find("wait_ms="); position != std::string::npos) {
            waits.push_back(absl::Milliseconds(std::stoll(target.substr(position + 8))));
            const StoreRevision after = std::stoull(target.substr(target.find("watch=") + 6));
            if (after > revision_) {
                done(response("410 Gone"));
                return;
            }
            const auto& objects = objects_[parts[0]];
            const bool hasChanged = std::any_of(objects.begin(), objects.end(),
                [&](const auto& item) { return item.second.revision > after; });
            if (hasChanged)
                done(reply("events", parts[0], after));
            else
                watches_.push_back({ parts[0], after, done });
        } else if (parts.size() > 1) {
            const auto found = objects_[parts[0]].find(parts[1]);
            done(found == objects_[parts[0]].end() ? response("404 Not Found") : ok(found->second.text));
        } else {
            done(reply("items", parts[0], 0));
        }
    }

    void put(const Request& request, const std::string& kind, const std::function<void(TargetResponse)>& done)
    {
        std::vector<Finding> findings;
        const auto body = parseJson({ "object", request.body(), &findings });
        const std::string name = (*body)["metadata"]["name"].asString();
        const auto existing = objects_[kind].find(name);
        if (request.method() == http::verb::post && existing != objects_[kind].end()) {
            done(response("409 Conflict", existing->second.text));
            return;
        }
        const Json::Value& revision = (*body)["metadata"]["revision"];
        if (!revision.isNull() && existing != objects_[kind].end()
            && revision.asUInt64() != existing->second.revision) {
            done(response("409 Conflict", existing->second.text));
            return;
        }
        set(kind, name, canonicalJson((*body)["spec"]));
        done(ok(objects_[kind][name].text));
    }

    ScriptedTarget server_;
    StoreRevision revision_ = 1;
    std::uint64_t era_ = 1; ///< Rises with each restore.
    int silentUpTo_ = 0; ///< Connections up to this number are silent.
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::vector<Watch> watches_;
};

struct HttpStore::Copy {
    StoreRevision revision = 0;
    std::map<std::string, std::map<std::string, Object>> objects;
};

inline HttpStore::Copy HttpStore::copy() const
{
    return { revision_, objects_ };
}

inline void HttpStore::restore(const Copy& copy)
{
    revision_ = copy.revision;
    objects_ = copy.objects;
    ++era_;
    for (const Watch& watch : std::exchange(watches_, {}))
        watch.done(unavailable());
}

/// Makes a node use the platform's decoder of configurations instead of that of the tests.
inline void usePlatformDecoder(TestNode& node)
{
    node.port.decodeConfiguration = [](const std::string& text) -> absl::StatusOr<Configuration> {
        absl::StatusOr<platform::DecodedConfiguration> decoded = platform::decodeConfiguration(text);
        if (!decoded.ok())
            return decoded.status();
        return routedConfiguration(std::move(decoded->table), std::move(decoded->peerDocument));
    };
}

/// Makes a node use the platform's store and decoder instead of those of the tests.
inline void usePlatformStore(TestNode& node, platform::ObjectStore& client)
{
    node.port.store = client.port();
    usePlatformDecoder(node);
}

} // namespace jackdawwall::relay::test
