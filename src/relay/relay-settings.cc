#include "relay/relay-settings.h"

#include "adapter/json-reader.h"

#include <algorithm>

namespace jackdawwall::relay {
namespace {

constexpr absl::Duration kMaxDuration = absl::Hours(1);
constexpr std::int64_t kMaxMegabytes = 1 << 20;
constexpr int kMegabyteShift = 20;
constexpr double kMaxArrivalBudget = 1e6;
constexpr std::int64_t kMaxDescriptors = 1 << 20;

} // namespace

void readProcessLimits(JsonReader& reader, std::size_t& memoryBytes, std::size_t& descriptors)
{
    memoryBytes = static_cast<std::size_t>(reader.integer("memoryMegabytes", 256, 16, kMaxMegabytes))
        << kMegabyteShift;
    descriptors = static_cast<std::size_t>(std::max<std::int64_t>(
        kMinDescriptors, reader.integer("descriptors", 4296, 1, kMaxDescriptors) - kReservedDescriptors));
}

RelaySettings readRelaySettings(const std::string& file, std::vector<Finding>& findings)
{
    RelaySettings settings;
    const std::string text = readFile(file, findings);
    if (!findings.empty())
        return settings;
    const JsonSource source { file, text, &findings };
    const auto parsed = parseJson(source);
    if (!parsed)
        return settings;
    JsonReader reader(source, *parsed, "");
    settings.process = reader.text("process", settings.process);
    settings.service = reader.requiredText("service");
    settings.dataCentre = reader.requiredText("dataCentre");
    settings.callerAddress = reader.address("callerAddress", "127.0.0.1:0");
    settings.peerAddress = reader.address("peerAddress", "127.0.0.1:0");
    settings.advertisedPeerAddress = reader.text("toldPeerAddress", "");
    if (!settings.advertisedPeerAddress.empty() && !isAddress(settings.advertisedPeerAddress))
        reader.addFinding("toldPeerAddress", "must be an address like 127.0.0.1:8080");
    settings.readyAddress = reader.address("readyAddress", "127.0.0.1:0");
    settings.heartbeatAddress = reader.address("heartbeatAddress", "127.0.0.1:0");
    settings.operatorAddress = reader.address("operatorAddress", "127.0.0.1:0");
    settings.targetAddress = reader.address("targetAddress", "");
    settings.platformAddress = reader.address("platformAddress", "");
    readProcessLimits(reader, settings.memoryBytes, settings.descriptors);
    settings.gossipInterval = reader.milliseconds(
        "gossipIntervalMs", settings.gossipInterval, absl::Milliseconds(10), kMaxDuration);
    settings.configurationApplyTime = reader.milliseconds(
        "configurationApplyMs", settings.configurationApplyTime, absl::Milliseconds(100), kMaxDuration);
    settings.stopTime = absl::Seconds(reader.number("stopSeconds", 6, 0.1, 3600));
    ArrivalBudgetOptions arrivalBudget;
    arrivalBudget.retryRatio = reader.number("repeatRatio", arrivalBudget.retryRatio, 0, kMaxArrivalBudget);
    arrivalBudget.extraRetries
        = reader.number("repeatExtra", arrivalBudget.extraRetries, 0, kMaxArrivalBudget);
    arrivalBudget.window = absl::Seconds(reader.number("repeatWindowSeconds", 10, 0.1, 3600));
    settings.arrivalBudget = arrivalBudget;
    settings.limitSlack = reader.number("limitSlack", settings.limitSlack, 0, kMaxArrivalBudget);
    const std::string balance = reader.text("balance", "");
    if (balance == "speed")
        settings.routing.balance = Balance::Speed;
    else if (!balance.empty())
        reader.addFinding("balance", "must be \"speed\" or omitted");
    reader.reportUnknownKeys();
    return settings;
}

} // namespace jackdawwall::relay
