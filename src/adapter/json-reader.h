/// Validated reading of JSON with comments. Every unknown key, wrong type and value out of range is reported
/// as a finding with file, line and key, and reading continues with the default value.
#pragma once

#include "adapter/finding.h"

#include "absl/time/time.h"

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawwall {

/// Text of a JSON file and the list that receives its findings.
struct JsonSource {
    std::string file;
    std::string text;
    std::vector<Finding>* findings;
};

/// Parses the text as one JSON object; reports a finding and returns std::nullopt when it isn't one.
std::optional<Json::Value> parseJson(const JsonSource& source);

/// Serializes a value as canonical JSON: one line, sorted keys, no comments.
std::string canonicalJson(const Json::Value& value);

/// Reads one object key by key. reportUnknownKeys() reports the keys that were not read.
class JsonReader {
public:
    JsonReader(const JsonSource& source, const Json::Value& object, std::string path);

    std::string text(const std::string& key, const std::string& fallback);
    double number(const std::string& key, double fallback, double minValue, double maxValue);
    std::int64_t integer(
        const std::string& key, std::int64_t fallback, std::int64_t minValue, std::int64_t maxValue);
    bool boolean(const std::string& key, bool fallback);
    absl::Duration milliseconds(
        const std::string& key, absl::Duration fallback, absl::Duration minValue, absl::Duration maxValue);
    /// An address "ip:port" with a numeric IPv4 address; with port 0 the kernel chooses a port.
    std::string address(const std::string& key, const std::string& fallback);
    std::vector<std::string> addresses(const std::string& key);
    /// A string that must be present and not empty.
    std::string requiredText(const std::string& key);
    /// A nested object; null when absent.
    const Json::Value& object(const std::string& key);
    void addFinding(const std::string& key, const std::string& message);
    void reportUnknownKeys();

private:
    const Json::Value* readValue(const std::string& key);
    int lineOf(const Json::Value& value) const;

    const JsonSource& source_;
    const Json::Value& object_;
    std::string path_;
    std::set<std::string> readKeys_;
};

/// True for "ip:port" with a numeric IPv4 address and a port from 0 to 65535.
bool isAddress(const std::string& text);

} // namespace jackdawwall
