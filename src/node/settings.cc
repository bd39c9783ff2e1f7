#include "node/settings.h"

#include "adapter/json-reader.h"
#include "node/catalogue-interface.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <array>

namespace jackdawwall {
namespace {

constexpr std::array<absl::string_view, 4> kLevelTexts { "debug", "info", "warning", "error" };

/// Value of an override: JSON when it parses as such, else text.
Json::Value overrideValue(const std::string& text)
{
    std::vector<Finding> ignored;
    const std::optional<Json::Value> wrapped
        = parseJson({ "", absl::StrCat("{\"v\":", text, "}"), &ignored });
    return wrapped ? (*wrapped)["v"] : Json::Value(text);
}

void applyOverrides(Json::Value& root, const SettingOverrides& overrides, std::vector<Finding>& findings)
{
    for (const std::string& item : overrides) {
        const std::size_t equals = item.find('=');
        if (equals == std::string::npos || equals == 0) {
            findings.push_back({ "command line", 0, item, "must be KEY=VALUE" });
            continue;
        }
        root[item.substr(0, equals)] = overrideValue(item.substr(equals + 1));
    }
}

void readAddresses(JsonReader& reader, NodeSettings& settings)
{
    settings.callerAddress = reader.address("callerAddress", settings.callerAddress);
    settings.peerAddress = reader.address("peerAddress", settings.peerAddress);
    settings.operatorAddress = reader.address("operatorAddress", settings.operatorAddress);
    settings.targetAddress = reader.address("targetAddress", "");
    settings.platformAddresses = reader.addresses("platformAddresses");
    settings.seedAddresses = reader.addresses("seedAddresses");
}

void readTimes(JsonReader& reader, NodeSettings& settings)
{
    settings.heartbeatInterval = reader.milliseconds(
        "heartbeatIntervalMs", settings.heartbeatInterval, absl::Milliseconds(20), absl::Seconds(10));
    settings.leaveDelay
        = reader.milliseconds("leaveDelayMs", settings.leaveDelay, absl::ZeroDuration(), absl::Seconds(30));
    settings.drainTimeout
        = reader.milliseconds("drainTimeoutMs", settings.drainTimeout, absl::Seconds(1), absl::Minutes(30));
    settings.senderTimeout
        = reader.milliseconds("senderTimeoutMs", settings.senderTimeout, absl::Seconds(1), absl::Minutes(5));
}

/// Nodes that watch the catalogue for all: more than one data centre's loss takes.
constexpr std::size_t kWatchers = 5;
/// A fleet's memory budget for a node is 64 MB for control; bodies are held beside it.
constexpr std::size_t kMemoryBytes = 256U << 20;

} // namespace

relay::RelaySettings relaySettings(const NodeSettings& settings)
{
    relay::RelaySettings made;
    made.process = settings.process;
    made.service = settings.service;
    made.dataCentre = settings.dataCentre;
    made.callerAddress = settings.callerAddress;
    made.peerAddress = settings.peerAddress;
    made.operatorAddress = settings.operatorAddress;
    made.targetAddress = settings.targetAddress;
    made.seedAddresses = settings.seedAddresses;
    made.memoryBytes = kMemoryBytes;
    made.watchers = kWatchers;
    made.gossipInterval = settings.heartbeatInterval;
    made.callerDrainTime = settings.leaveDelay;
    made.peerDrainTime = settings.leaveDelay;
    made.stopTime = settings.leaveDelay + settings.drainTimeout;
    made.headerTimeout = settings.senderTimeout;
    made.names = catalogueHeaders();
    return made;
}

LogLevel readLogLevel(JsonReader& reader)
{
    const std::string text = reader.text("logLevel", "info");
    for (std::size_t index = 0; index < kLevelTexts.size(); ++index) {
        if (kLevelTexts.at(index) == text)
            return static_cast<LogLevel>(index);
    }
    reader.finding("logLevel", "must be debug, info, warning or error");
    return LogLevel::Info;
}

NodeSettings readNodeSettings(
    const std::string& file, const SettingOverrides& overrides, std::vector<Finding>& findings)
{
    NodeSettings settings;
    const std::string text = file.empty() ? "{}" : readFile(file, findings);
    const JsonSource source { file.empty() ? "command line" : file, text, &findings };
    std::optional<Json::Value> root = findings.empty() ? parseJson(source) : std::nullopt;
    if (!root)
        return settings;
    applyOverrides(*root, overrides, findings);
    JsonReader reader(source, *root, "");
    settings.process = reader.text("process", settings.process);
    settings.service = reader.requiredText("service");
    settings.dataCentre = reader.requiredText("dataCentre");
    readAddresses(reader, settings);
    readTimes(reader, settings);
    settings.logPath = reader.text("logPath", "");
    settings.logLevel = readLogLevel(reader);
    reader.finish();
    return settings;
}

} // namespace jackdawwall
