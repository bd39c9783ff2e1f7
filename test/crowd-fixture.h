/// Fixture for crowds of clients that respect no limit: a node as a real process, with a target and a store
/// on the test's event loop, and the crowd. The bounds on memory and descriptors are those of the settings.
#pragma once

#include "child-process.h"
#include "crowd.h"
#include "store-fixture.h"
#include "wire-names.h"

#include <filesystem>
#include <fstream>

namespace jackdawwall::relay::test {

/// Limits that the node gets in its settings, which are the bounds of the checks. They are low, so that a
/// small crowd exceeds them.
inline constexpr int kMemoryMegabytes = 40;
inline constexpr int kDescriptors = 400;

/// Answers of a target: small ones, and large ones on "/read/large".
inline std::optional<TargetResponse> respondToCrowd(const Request& request)
{
    const bool isLarge = absl::StrContains(fromBeast(request.target()), "large");
    const std::string body(isLarge ? kLargeResponseBytes : 2, 'x');
    const HeaderNames names = platform::headerNames();
    return TargetResponse { absl::StrCat("HTTP/1.1 200 OK\r\n", names.seal, ": s\r\n", names.requestId, ": ",
        headerValue(request, names.requestId), "\r\nContent-Length: ", body.size(), "\r\n\r\n", body) };
}

/// A node as a process, beside a target on the test's loop.
class CrowdedNode {
public:
    explicit CrowdedNode(bool isUsersPlatform)
        : isUsersPlatform_(isUsersPlatform)
        , target_(loop_, respondToCrowd)
        , store_(loop_)
        , clients_(loop_)
        , reserved_(loop_)
    {
        for (std::string& address : addresses_)
            address = reserved_.add();
        folder_ = std::filesystem::temp_directory_path() / absl::StrCat("crowd-", getpid());
        std::filesystem::create_directories(folder_);
        const std::string settings = folder_ / "settings.json";
        std::ofstream(settings) << (isUsersPlatform ? platformSettings() : nodeSettings());
        store_.set(platform::kConfigurationKind, platform::kConfigurationName,
            absl::StrCat(R"({"version":5,"limits":{"max_header_bytes":)", kMaxHeadBytes,
                R"(,"max_body_bytes":)", kMaxBodyBytes,
                R"(,"header_timeout_ms":3000,"idle_timeout_ms":15000},"routes":[{"name":"read",)",
                R"("host":"a.example","prefix":"/read/","service":"books","kind":"safe","timeout_ms":3000,)",
                R"("attempts":1,"priority":1}]})"));
        const std::string program
            = absl::StrCat(JACKDAW_BIN, isUsersPlatform ? "/jackdawwall" : "/jackdaw-node");
        std::vector<std::string> arguments { program };
        if (!isUsersPlatform)
            arguments.emplace_back("--settings");
        arguments.push_back(settings);
        process_ = std::make_unique<ChildProcess>(arguments, folder_ / "log.txt");
        awaitAnswer(Port::Caller);
    }

    ~CrowdedNode()
    {
        process_.reset();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    const std::string& address(Port port) const { return addresses_.at(static_cast<std::size_t>(port)); }
    const ChildProcess& process() const { return *process_; }
    asio::io_context& loop() { return loop_; }

    /// Repeats an ordinary request of a port until it is answered as expected.
    void awaitAnswer(Port port)
    {
        bool isAnswered = false;
        bool isPending = false;
        runUntil(loop_, [&] {
            if (!isPending && !isAnswered) {
                isPending = true;
                sendOrdinaryRequest(port, [&](bool isExpected) {
                    isPending = false;
                    isAnswered = isExpected;
                });
            }
            return isAnswered;
        });
    }

private:
    Json::Value commonSettings() const
    {
        Json::Value value;
        value["process"] = "crowded";
        value["service"] = "books";
        value["dataCentre"] = "here";
        value["callerAddress"] = address(Port::Caller);
        value["peerAddress"] = address(Port::Peer);
        value["operatorAddress"] = address(Port::Operator);
        value["targetAddress"] = target_.address();
        value["memoryMegabytes"] = kMemoryMegabytes;
        value["descriptors"] = kDescriptors;
        return value;
    }

    std::string platformSettings() const
    {
        Json::Value value = commonSettings();
        value["readyAddress"] = address(Port::Ready);
        value["heartbeatAddress"] = address(Port::Heartbeat);
        value["platformAddress"] = store_.address();
        return canonicalJson(value);
    }

    std::string nodeSettings() const
    {
        Json::Value value = commonSettings();
        value["platformAddresses"].append(kUnusedAddress);
        return canonicalJson(value);
    }

    Request ordinaryRequest(Port port)
    {
        const HeaderNames names = platform::headerNames();
        Request request { http::verb::get, port == Port::Operator ? "/status" : "/read/1", 11 };
        request.set(http::field::host, "a.example");
        request.set(http::field::connection, "close");
        if (port == Port::Caller) {
            request.set(names.requestId, absl::StrCat("r", ++requests_));
            request.set(names.remainingTime, "5000");
            request.set("Jackdaw-Service", "books");
            request.set("Jackdaw-Repeat", "idempotent");
        } else if (port == Port::Heartbeat) {
            request.method(http::verb::post);
            request.target(absl::StrCat("/?", platform::kHeartbeatQuery, "t1"));
            request.body() = absl::StrCat(R"({"born":100,"state":"ready","sequence":)", ++requests_,
                R"(,"capacity":8,"cold_left_ms":0,"zone":"here","version":"1","service":"books","address":")",
                target_.address(), "\"}");
        }
        request.prepare_payload();
        return request;
    }

    /// `done` gets true if the answer is the expected one. The peer port has no request that a test could
    /// send as another node without side effects, so its answer to a request that isn't a call between nodes
    /// counts.
    void sendOrdinaryRequest(Port port, std::function<void(bool)> done)
    {
        if (port == Port::Caller && isUsersPlatform_) { // The target has to be ready first.
            send(Port::Heartbeat, 200, [this, done = std::move(done)](bool isReady) {
                if (isReady)
                    send(Port::Caller, 200, done);
                else
                    done(false);
            });
            return;
        }
        send(port, port == Port::Peer ? 400 : 200, std::move(done));
    }

    void send(Port port, unsigned status, std::function<void(bool)> done)
    {
        ExchangeRequest exchange;
        exchange.bytes = serializeRequest(ordinaryRequest(port));
        clients_.sendWithTimeout(parseEndpoint(address(port)), std::move(exchange), absl::Seconds(5),
            [status, done = std::move(done)](const ExchangeResult& result) {
                done(result.status == ExchangeStatus::Complete && result.response.result_int() == status);
            });
    }

    const bool isUsersPlatform_;
    asio::io_context loop_;
    ScriptedTarget target_;
    HttpStore store_;
    UpstreamPool clients_;
    ReservedAddresses reserved_;
    std::array<std::string, kPortNames.size()> addresses_;
    std::filesystem::path folder_;
    std::unique_ptr<ChildProcess> process_;
    int requests_ = 0;
};

/// Runs a crowd against one port of a node and checks the bounds.
inline void checkCrowd(bool isUsersPlatform, Port port, const CrowdPart& part)
{
    CrowdedNode node(isUsersPlatform);
    node.awaitAnswer(port);
    std::size_t peakDescriptors = 0;
    {
        Crowd crowd(node.loop(), node.address(port), part);
        const auto end = std::chrono::steady_clock::now() + kCrowdTime;
        auto lastProgress = std::chrono::steady_clock::now();
        std::uint64_t lastEvents = 0;
        while (crowd.sentBytes < kCrowdBytes && std::chrono::steady_clock::now() < end
            && std::chrono::steady_clock::now() - lastProgress < kStallTime) {
            node.loop().restart();
            node.loop().run_for(std::chrono::milliseconds(20));
            peakDescriptors = std::max(peakDescriptors, node.process().openDescriptors());
            if (std::exchange(lastEvents, crowd.events) != crowd.events)
                lastProgress = std::chrono::steady_clock::now();
        }
        crowd.close();
        node.loop().restart();
        node.loop().poll(); // The closed connections' handlers refer to the crowd.
    }
    BOOST_TEST(!node.process().hasExited());
    const std::size_t peakKilobytes = node.process().peakResidentKilobytes();
    BOOST_TEST_MESSAGE(kPortNames.at(static_cast<std::size_t>(port))
        << ", " << part.name << ": " << peakKilobytes << " KiB, " << peakDescriptors << " descriptors");
#ifndef __SANITIZE_ADDRESS__ // The sanitizer keeps freed memory.
    BOOST_TEST(peakKilobytes <= static_cast<std::size_t>(kMemoryMegabytes) << 10);
#endif
    BOOST_TEST(peakDescriptors <= static_cast<std::size_t>(kDescriptors));
    node.awaitAnswer(port);
    node.awaitAnswer(Port::Caller);
}

} // namespace jackdawwall::relay::test
