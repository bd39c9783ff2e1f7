// The commands of jackdawctl that query the nodes.
#include "main/ctl.h"

#include "adapter/json-reader.h"
#include "main/command-line.h"
#include "main/timeline.h"
#include "node/object-platform.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"

#include <fstream>
#include <iostream>
#include <set>

namespace jackdawwall {
namespace {

constexpr absl::Duration kRequestTimeout = absl::Seconds(1);
constexpr std::size_t kMaxResponseBytes = 16U << 20;

absl::StatusOr<std::string> fetchFromNode(
    CtlContext& context, const std::string& address, const std::string& path)
{
    ExchangeRequest request;
    request.url = absl::StrCat("http://", address, path);
    request.deadline = absl::Now() + kRequestTimeout;
    absl::StatusOr<HttpResponse> response = fetch(context.pool, address, request, kMaxResponseBytes);
    if (!response.ok())
        return response.status();
    if (response->status != 200)
        return absl::UnavailableError(absl::StrCat(address, " responded with status ", response->status));
    return std::move(response->body);
}

Json::Value parseResponse(const std::string& text)
{
    std::istringstream stream(text);
    Json::Value value;
    std::string errors;
    Json::parseFromStream(Json::CharReaderBuilder(), stream, &value, &errors);
    return value;
}

std::vector<std::string> seedAddresses(CtlContext& context)
{
    std::vector<std::string> addresses = context.options.nodeAddresses;
    const absl::StatusOr<std::vector<StoredObject>> seeds = listObjects(context, kSeedPrefix);
    if (!seeds.ok())
        return addresses;
    for (const StoredObject& seed : *seeds) {
        const std::string address = operatorAddressIn(seed.value);
        if (!address.empty())
            addresses.push_back(address);
    }
    return addresses;
}

void printNode(const std::string& address, const Json::Value& status)
{
    const Json::Value& admission = status["admission"];
    std::cout << "node=" << status["process"].asString() << " operator=" << address
              << " service=" << status["service"].asString()
              << " catalogue=" << status["catalogueVersion"].asUInt64()
              << " since=" << status["catalogueSince"].asString() << " limit=" << admission["limit"].asInt()
              << " in-flight=" << admission["inFlight"].asInt() << " waiting=" << admission["waiting"].asInt()
              << " refusing=" << (admission["refusing"].asBool() ? "yes" : "no")
              << " leaving=" << (status["leaving"].asBool() ? "yes" : "no")
              << " alive=" << status["members"]["alive"].asInt() << "\n";
}

void printLimits(const std::string& address, const Json::Value& limits)
{
    const std::string prefix
        = absl::StrCat("operator=", address, " cut-off=", limits["cutOff"].asBool() ? "yes" : "no");
    for (const Json::Value& customer : limits["customers"]) {
        std::cout << prefix << " customer=" << customer["name"].asString()
                  << " limit=" << customer["limitPerSecond"].asDouble()
                  << " burst=" << customer["burst"].asDouble() << " held=" << customer["held"].asUInt64()
                  << " demand=" << customer["demandPerSecond"].asDouble()
                  << " taken=" << customer["taken"].asUInt64()
                  << " refused=" << customer["refused"].asUInt64()
                  << " coordinator=" << customer["coordinator"].asString() << "\n";
    }
    for (const Json::Value& bucket : limits["coordinated"]) {
        std::cout << prefix << " coordinates=" << bucket["name"].asString()
                  << " role=" << bucket["role"].asString() << " level=" << bucket["level"].asDouble()
                  << " leased=" << bucket["leased"].asDouble() << " holders=" << bucket["holders"].asUInt64()
                  << "\n";
    }
}

bool matches(const std::string& line, const std::vector<std::string>& filters)
{
    for (const std::string& filter : filters) {
        const std::string padded = absl::StrCat(" ", line, " ");
        if (padded.find(absl::StrCat(" ", filter, " ")) == std::string::npos)
            return false;
    }
    return true;
}

void addEvents(const std::string& text, const CtlOptions& options, std::vector<TimelineEvent>& events)
{
    for (const absl::string_view line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
        const std::string copy(line);
        if (matches(copy, options.filters))
            events.push_back(parseEvent(copy));
    }
}

} // namespace

std::vector<std::string> findOperatorAddresses(CtlContext& context)
{
    std::set<std::string> addresses;
    for (const std::string& address : seedAddresses(context)) {
        if (addresses.contains(address))
            continue;
        const absl::StatusOr<std::string> response = fetchFromNode(context, address, "/members");
        if (!response.ok())
            continue;
        addresses.insert(address);
        for (const Json::Value& member : parseResponse(*response)) {
            if (member["status"].asString() != "dead")
                addresses.insert(member["operator"].asString());
        }
    }
    addresses.erase("");
    return { addresses.begin(), addresses.end() };
}

int showStatus(CtlContext& context)
{
    Json::Value list(Json::arrayValue);
    std::set<std::uint64_t> versions;
    int unresponsive = 0;
    for (const std::string& address : findOperatorAddresses(context)) {
        const absl::StatusOr<std::string> response = fetchFromNode(context, address, "/status");
        if (!response.ok()) {
            ++unresponsive;
            continue;
        }
        const Json::Value status = parseResponse(*response);
        versions.insert(status["catalogueVersion"].asUInt64());
        list.append(status);
        if (!context.options.isJson)
            printNode(address, status);
    }
    if (context.options.isJson)
        std::cout << canonicalJson(list) << "\n";
    else
        std::cout << "nodes=" << list.size() << " silent=" << unresponsive
                  << " catalogue-versions=" << versions.size() << "\n";
    return list.empty() ? kExitFailed : kExitOk;
}

int showLimits(CtlContext& context)
{
    Json::Value all(Json::objectValue);
    for (const std::string& address : findOperatorAddresses(context)) {
        const absl::StatusOr<std::string> response = fetchFromNode(context, address, "/limits");
        if (!response.ok())
            continue;
        all[address] = parseResponse(*response);
        if (!context.options.isJson)
            printLimits(address, all[address]);
    }
    if (context.options.isJson)
        std::cout << canonicalJson(all) << "\n";
    return all.empty() ? kExitFailed : kExitOk;
}

int showTimeline(CtlContext& context)
{
    std::vector<TimelineEvent> events;
    std::vector<Finding> findings;
    for (const std::string& file : context.options.logFiles)
        addEvents(readFile(file, findings), context.options, events);
    if (!findings.empty()) {
        std::cerr << formatFindings(findings);
        return kExitInvalid;
    }
    if (context.options.logFiles.empty()) {
        for (const std::string& address : findOperatorAddresses(context)) {
            const absl::StatusOr<std::string> response = fetchFromNode(context, address, "/events");
            if (response.ok())
                addEvents(*response, context.options, events);
        }
    }
    orderEvents(events);
    if (!context.options.htmlFile.empty()) {
        std::ofstream(context.options.htmlFile) << timelinePage(events);
        return kExitOk;
    }
    for (const TimelineEvent& event : events)
        std::cout << event.line << "\n";
    return kExitOk;
}

} // namespace jackdawwall
