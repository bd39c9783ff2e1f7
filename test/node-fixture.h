/// Nodes inside the test's own process: real ports and decisions, a fake platform, and a target that the test
/// scripts.
#pragma once

#include "adapter/http-server.h"
#include "node/call-wire.h"
#include "node/caller-side.h"
#include "node/node-state.h"
#include "node/target-side.h"
#include "standin/object-store.h"

#include "absl/time/clock.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jackdawwall::test {

/// The platform port on a store in memory, with its faults.
struct FakePlatform {
    standin::ObjectStore store;
    bool isDown = false;
    bool losesAnswers = false; ///< Writes take effect, their answers are lost.

    Platform port()
    {
        Platform platform;
        platform.read = [this](const std::string& key) -> absl::StatusOr<StoredObject> {
            if (isDown)
                return absl::UnavailableError("down");
            const absl::StatusOr<standin::Object> object = store.read(key);
            if (!object.ok())
                return object.status();
            return StoredObject { key, object->value, object->version };
        };
        platform.write = [this](const std::string& key, const std::string& value,
                             ObjectVersion ifVersion) -> absl::StatusOr<ObjectVersion> {
            if (isDown)
                return absl::UnavailableError("down");
            absl::StatusOr<std::uint64_t> written = store.write(key, value, ifVersion);
            if (losesAnswers)
                return absl::DataLossError("lost");
            return written;
        };
        platform.remove = [this](const std::string& key, ObjectVersion ifVersion) -> absl::Status {
            return isDown ? absl::UnavailableError("down") : store.remove(key, ifVersion);
        };
        platform.list = [this](const std::string& prefix,
                            const std::string& afterKey) -> absl::StatusOr<std::vector<StoredObject>> {
            if (isDown)
                return absl::UnavailableError("down");
            std::vector<StoredObject> objects;
            for (const standin::Object& object : store.list(prefix, afterKey, 1000))
                objects.push_back({ object.key, object.value, object.version });
            return objects;
        };
        return platform;
    }
};

/// One node with the ports that calls use.
struct TestNode {
    TestNode(const std::string& service, const std::string& targetAddress, FakePlatform& platform)
        : state(settingsOf(service, targetAddress))
    {
        state.platform = platform.port();
        HttpServerOptions options;
        options.address = "127.0.0.1:0";
        callerPort = *HttpServer::start(options, callerSide(state));
        peerPort = *HttpServer::start(options, targetSide(state));
        state.callerAddress = callerPort->address();
        state.peerAddress = peerPort->address();
        const absl::MutexLock lock(&state.mutex);
        state.decisions = makeNodeDecisions(self(), 1, absl::Now());
    }

    ~TestNode()
    {
        callerPort->stop();
        peerPort->stop();
    }

    Member self() const
    {
        Member member;
        member.peerAddress = state.peerAddress;
        member.incarnation = 1;
        member.service = state.settings.service;
        member.dataCentre = state.settings.dataCentre;
        return member;
    }

    static NodeSettings settingsOf(const std::string& service, const std::string& targetAddress)
    {
        NodeSettings settings;
        settings.service = service;
        settings.dataCentre = "sukhbaatar";
        settings.targetAddress = targetAddress;
        return settings;
    }

    NodeState state;
    std::unique_ptr<HttpServer> callerPort;
    std::unique_ptr<HttpServer> peerPort;
};

/// Makes all nodes know each other.
inline void introduce(const std::vector<TestNode*>& nodes)
{
    for (TestNode* node : nodes) {
        const absl::MutexLock lock(&node->state.mutex);
        for (const TestNode* other : nodes)
            mergeMembers(node->state.decisions.membership, { other->self() }, absl::Now());
        membersChanged(node->state.decisions);
    }
}

/// Puts a catalogue of these entries in force: pairs of name and JSON.
inline void apply(
    TestNode& node, const std::vector<std::pair<std::string, std::string>>& entries, CatalogueVersion version)
{
    std::string text;
    for (const auto& [name, value] : entries)
        text += (text.empty() ? "\"" : ",\"") + name + "\":{\"value\":" + value + "}";
    node.state.offerCatalogue({ "catalogue", "{\"entries\":{" + text + "}}", version });
}

/// A call to a node's callers' port.
inline absl::StatusOr<HttpAnswer> call(TestNode& node, ConnectionPool& pool, std::vector<HttpHeader> headers,
    absl::string_view body = "", const std::string& target = "/")
{
    ExchangeRequest request;
    request.method = "POST";
    request.url = "http://" + node.callerPort->address() + target;
    request.headers = std::move(headers);
    request.body = body;
    request.deadline = absl::Now() + absl::Seconds(20);
    return fetch(pool, node.callerPort->address(), request, 64U << 20);
}

} // namespace jackdawwall::test
