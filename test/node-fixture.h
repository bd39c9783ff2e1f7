/// Fixture for tests of the catalogue interface: nodes on one event loop, scripted targets and an in-memory
/// object API.
#pragma once

#include "node/call-headers.h"
#include "node/catalogue-interface.h"
#include "node/object-platform.h"
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
using relay::test::TargetResponse;

/// In-memory object API with injected faults.
struct FakeObjects {
    explicit FakeObjects(relay::asio::io_context& ioLoop)
        : loop(ioLoop)
    {
    }

    ObjectApi port()
    {
        ObjectApi api;
        api.read = [this](const std::string& key, const ObjectCallback<StoredObject>& done) {
            postStep([this, key, done] {
                done(isUnavailable ? absl::StatusOr<StoredObject>(unavailableError()) : read(key));
            });
        };
        api.write = [this](const std::string& key, const std::string& value, ObjectVersion ifVersion,
                        const ObjectCallback<ObjectVersion>& done) {
            postStep([this, key, value, ifVersion, done] {
                if (isUnavailable) {
                    done(unavailableError());
                    return;
                }
                const absl::StatusOr<std::uint64_t> written = store.write(key, value, ifVersion);
                done(losesWriteResponses ? absl::StatusOr<ObjectVersion>(absl::DataLossError("lost"))
                                         : written);
            });
        };
        api.remove = [this](const std::string& key, ObjectVersion ifVersion,
                         const std::function<void(absl::Status)>& done) {
            postStep([this, key, ifVersion, done] {
                done(isUnavailable ? unavailableError() : store.remove(key, ifVersion));
            });
        };
        api.list = [this](const std::string& prefix, const std::string& afterKey,
                       const ObjectCallback<std::vector<StoredObject>>& done) {
            postStep([this, prefix, afterKey, done] {
                if (isUnavailable) {
                    done(unavailableError());
                    return;
                }
                std::vector<StoredObject> objects;
                for (const standin::Object& object : store.list(prefix, afterKey, 1000))
                    objects.push_back({ object.key, object.value, object.version });
                done(std::move(objects));
            });
        };
        // Never reports a change: catalogues are applied directly in these tests.
        api.watch = [](const std::string&, ObjectVersion, const WatchTiming&,
                        const ObjectCallback<StoredObject>&) {};
        return api;
    }

    relay::asio::io_context& loop;
    standin::ObjectStore store;
    bool isUnavailable = false;
    bool losesWriteResponses = false; ///< Writes take effect, but their responses are lost.

private:
    static absl::Status unavailableError() { return absl::UnavailableError("down"); }

    void postStep(std::function<void()> step) { relay::asio::post(loop, std::move(step)); }

    absl::StatusOr<StoredObject> read(const std::string& key)
    {
        const absl::StatusOr<standin::Object> object = store.read(key);
        if (!object.ok())
            return object.status();
        return StoredObject { key, object->value, object->version };
    }
};

/// One node with its caller, peer and platform ports.
struct TestNode {
    TestNode(FakeObjects& objects, const std::string& service, const std::string& targetAddress,
        absl::Duration leaveDelay = absl::Seconds(3))
        : node(objects.loop, settingsOf(service, targetAddress, leaveDelay),
            objectPlatform(objects.port(), "sukhbaatar"), catalogueInterface(objects.port()))
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

    /// Applies a catalogue with these entries, given as pairs of name and JSON; returns false when it is
    /// invalid.
    bool apply(const std::vector<std::pair<std::string, std::string>>& entries, CatalogueVersion version)
    {
        std::string text;
        for (const auto& [name, value] : entries)
            text += (text.empty() ? "\"" : ",\"") + name + "\":{\"value\":" + value + "}";
        return applyDocument("{\"entries\":{" + text + "}}", version);
    }
    bool applyDocument(const std::string& text, CatalogueVersion version)
    {
        return node.onConfiguration(packCatalogue({ "catalogue", text, version }), "operator");
    }

    relay::RelayNode node;
    std::string address; ///< Address for callers.
};

/// Introduces all nodes to each other and waits until all of them see all members serving.
inline void introduce(relay::asio::io_context& loop, const std::vector<TestNode*>& nodes)
{
    for (TestNode* node : nodes) {
        for (const TestNode* other : nodes)
            node->node.addPeer(other->node.settings().peerAddress);
    }
    for (const TestNode* node : nodes)
        runUntil(loop, [&] { return node->node.servingMemberCount() == nodes.size(); });
}

/// Headers of a call, as pairs of name and value.
using CallHeaders = std::vector<std::pair<std::string, std::string>>;

/// Sends calls from the event loop.
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
        send(address, headers, body, [&](relay::ExchangeResult received) { result = std::move(received); });
        runUntil(loop_, [&] { return result.has_value(); });
        return *std::move(result);
    }

    void send(const std::string& address, const CallHeaders& headers, const std::string& body,
        relay::ExchangeCallback done)
    {
        relay::Request request { relay::http::verb::post, "/", 11 };
        for (const auto& [name, value] : headers)
            request.set(name, value);
        request.body() = body;
        request.prepare_payload();
        relay::ExchangeRequest exchange;
        exchange.bytes = relay::serializeRequest(request);
        pool_.send(relay::parseEndpoint(address), std::move(exchange), std::move(done));
    }

private:
    relay::asio::io_context& loop_;
    relay::UpstreamPool pool_;
};

} // namespace jackdawwall::test
