#include "node/settings.h"

#include "adapter/json-reader.h"
#include "node/catalogue-interface.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <array>

namespace jackdawwall {
namespace {

constexpr std::array<absl::string_view, 4> kLogLevelNames { "debug", "info", "warning", "error" };

/// Parses the value of an override as JSON; takes it as a string when it is not valid JSON.
Json::Value overrideValue(const std::string& text)
{
    std::vector<Finding> ignored;
    const std::optional<Json::Value> parsed = parseJson({ "", absl::StrCat("{\"v\":", text, "}"), &ignored });
    return parsed ? (*parsed)["v"] : Json::Value(text);
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

/// Number of nodes that watch the catalogue on behalf of all; chosen so that some remain when one data centre
/// is lost.
constexpr std::size_t kWatchers = 5;

} // namespace

relay::RelaySettings relaySettings(const NodeSettings& settings)
{
    relay::RelaySettings result;
    result.process = settings.process;
    result.service = settings.service;
    result.dataCentre = settings.dataCentre;
    result.callerAddress = settings.callerAddress;
    result.peerAddress = settings.peerAddress;
    result.operatorAddress = settings.operatorAddress;
    result.targetAddress = settings.targetAddress;
    result.seedAddresses = settings.seedAddresses;
    result.memoryBytes = settings.memoryBytes;
    result.descriptors = settings.descriptors;
    result.watchers = kWatchers;
    result.gossipInterval = settings.heartbeatInterval;
    result.callerDrainTime = settings.leaveDelay;
    result.peerDrainTime = settings.leaveDelay;
    result.stopTime = settings.leaveDelay + settings.drainTimeout;
    result.headerTimeout = settings.senderTimeout;
    result.names = catalogueHeaders();
    return result;
}

LogLevel readLogLevel(JsonReader& reader)
{
    const std::string text = reader.text("logLevel", "info");
    for (std::size_t index = 0; index < kLogLevelNames.size(); ++index) {
        if (kLogLevelNames.at(index) == text)
            return static_cast<LogLevel>(index);
    }
    reader.addFinding("logLevel", "must be debug, info, warning or error");
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
    relay::readProcessLimits(reader, settings.memoryBytes, settings.descriptors);
    settings.logPath = reader.text("logPath", "");
    settings.logLevel = readLogLevel(reader);
    reader.reportUnknownKeys();
    return settings;
}

} // namespace jackdawwall
