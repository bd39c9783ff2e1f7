/// Checked reading of JSON with comments: every unknown key, wrong type and value out of range becomes a
/// finding with file, line and key; reading goes on with the default.
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

/// Text of a JSON file and where its findings go.
struct JsonSource {
    std::string file;
    std::string text;
    std::vector<Finding>* findings;
};

/// Parses the whole text; empty after a syntax error, which is reported with its line.
std::optional<Json::Value> parseJson(const JsonSource& source);

/// One line of canonical JSON: keys sorted, no comments.
std::string canonicalJson(const Json::Value& value);

/// Reads one object key by key; `finish` reports the keys that nobody asked for.
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
    /// "ip:port" with an IP number; port 0 lets the kernel choose.
    std::string address(const std::string& key, const std::string& fallback);
    std::vector<std::string> addresses(const std::string& key);
    /// Text that must be given and not be empty.
    std::string requiredText(const std::string& key);
    /// An object below this one; null when absent.
    const Json::Value& object(const std::string& key);
    void addFinding(const std::string& key, const std::string& message);
    void reportUnknownKeys();

private:
    const Json::Value* findValue(const std::string& key);
    int lineOf(const Json::Value& value) const;

    const JsonSource& source_;
    const Json::Value& object_;
    std::string path_;
    std::set<std::string> readKeys_;
};

/// True for "ip:port" with an IPv4 number and a port up to 65535.
bool isAddress(const std::string& text);

} // namespace jackdawwall
