/// Nodes of the product's own interface on one event loop, beside targets that the test scripts, and the
/// platform's objects in memory.
#pragma once

#include "node/call-headers.h"
#include "node/catalogue-interface.h"
#include "node/own-platform.h"
#include "node/settings.h"
#include "relay-fixture.h"
#include "standin/object-store.h"

#include "absl/time/clock.h"

#include <boost/asio/post.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jackdawwall::test {

using relay::test::runUntil;
using relay::test::ScriptedTarget;
using relay::test::TargetReply;

/// The platform's objects in memory, with faults.
struct FakeObjects {
    explicit FakeObjects(relay::asio::io_context& ioLoop)
        : loop(ioLoop)
    {
    }

    ObjectApi port()
    {
        ObjectApi api;
        api.read = [this](const std::string& key, const ObjectDone<StoredObject>& done) {
            later([this, key, done] { done(isDown ? absl::StatusOr<StoredObject>(down()) : read(key)); });
        };
        api.write = [this](const std::string& key, const std::string& value, ObjectVersion ifVersion,
                        const ObjectDone<ObjectVersion>& done) {
            later([this, key, value, ifVersion, done] {
                if (isDown) {
                    done(down());
                    return;
                }
                const absl::StatusOr<std::uint64_t> written = store.write(key, value, ifVersion);
                done(losesAnswers ? absl::StatusOr<ObjectVersion>(absl::DataLossError("lost")) : written);
            });
        };
        api.remove = [this](const std::string& key, ObjectVersion ifVersion,
                         const std::function<void(absl::Status)>& done) {
            later([this, key, ifVersion, done] { done(isDown ? down() : store.remove(key, ifVersion)); });
        };
        api.list = [this](const std::string& prefix, const std::string& afterKey,
                       const ObjectDone<std::vector<StoredObject>>& done) {
            later([this, prefix, afterKey, done] {
                if (isDown) {
                    done(down());
                    return;
                }
                std::vector<StoredObject> objects;
                for (const standin::Object& object : store.list(prefix, afterKey, 1000))
                    objects.push_back({ object.key, object.value, object.version });
                done(std::move(objects));
            });
        };
        // No change comes before the end of the test.
        api.watch = [](const std::string&, ObjectVersion, absl::Duration, const ObjectDone<StoredObject>&) {};
        return api;
    }

    relay::asio::io_context& loop;
    standin::ObjectStore store;
    bool isDown = false;
    bool losesAnswers = false; ///< Writes take effect, their answers are lost.

private:
    static absl::Status down() { return absl::UnavailableError("down"); }

    void later(std::function<void()> step) { relay::asio::post(loop, std::move(step)); }

    absl::StatusOr<StoredObject> read(const std::string& key)
    {
        const absl::StatusOr<standin::Object> object = store.read(key);
        if (!object.ok())
            return object.status();
        return StoredObject { key, object->value, object->version };
    }
};

/// One node with the ports that calls use.
struct TestNode {
    TestNode(FakeObjects& objects, const std::string& service, const std::string& targetAddress,
        absl::Duration leaveDelay = absl::Seconds(3))
        : node(objects.loop, settingsOf(service, targetAddress, leaveDelay),
            ownPlatform(objects.port(), "sukhbaatar"), catalogueInterface(objects.port()))
        , address(node.settings().callerAddress)
    {
    }

    static relay::RelaySettings settingsOf(
        const std::string& service, const std::string& targetAddress, absl::Duration leaveDelay)
    {
        NodeSettings settings;
        settings.process = "node before " + targetAddress;
        settings.service = service;
        settings.dataCentre = "sukhbaatar";
        settings.targetAddress = targetAddress;
        settings.heartbeatInterval = absl::Milliseconds(50);
        settings.leaveDelay = leaveDelay;
        return relaySettings(settings);
    }

    /// Puts a catalogue of these entries in force: pairs of name and JSON. False when it is invalid.
    bool apply(const std::vector<std::pair<std::string, std::string>>& entries, CatalogueVersion version)
    {
        std::string text;
        for (const auto& [name, value] : entries)
            text += (text.empty() ? "\"" : ",\"") + name + "\":{\"value\":" + value + "}";
        return offer("{\"entries\":{" + text + "}}", version);
    }
    bool offer(const std::string& text, CatalogueVersion version)
    {
        return node.onConfiguration(packCatalogue({ "catalogue", text, version }));
    }

    relay::RelayNode node;
    std::string address; ///< Of the callers' port.
};

/// Makes all nodes know each other.
inline void introduce(relay::asio::io_context& loop, const std::vector<TestNode*>& nodes)
{
    for (TestNode* node : nodes) {
        for (const TestNode* other : nodes)
            node->node.addPeer(other->node.settings().peerAddress);
    }
    for (const TestNode* node : nodes)
        runUntil(loop, [&] { return node->node.servingMemberCount() == nodes.size(); });
}

/// Headers of a call, by name.
using CallHeaders = std::vector<std::pair<std::string, std::string>>;

/// A caller on the loop.
class Caller {
public:
    explicit Caller(relay::asio::io_context& loop)
        : loop_(loop)
        , pool_(loop)
    {
    }

    relay::ExchangeResult call(
        const std::string& address, const CallHeaders& headers, const std::string& body = "")
    {
        std::optional<relay::ExchangeResult> result;
        send(address, headers, body, [&](relay::ExchangeResult given) { result = std::move(given); });
        runUntil(loop_, [&] { return result.has_value(); });
        return *std::move(result);
    }

    void send(const std::string& address, const CallHeaders& headers, const std::string& body,
        relay::ExchangeDone done)
    {
        relay::Request request { relay::http::verb::post, "/", 11 };
        for (const auto& [name, value] : headers)
            request.set(name, value);
        request.body() = body;
        request.prepare_payload();
        relay::ExchangePlan plan;
        plan.bytes = relay::toBytes(request);
        pool_.send(relay::parseEndpoint(address), std::move(plan), std::move(done));
    }

private:
    relay::asio::io_context& loop_;
    relay::UpstreamPool pool_;
};

} // namespace jackdawwall::test
