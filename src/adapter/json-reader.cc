#include "adapter/json-reader.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <arpa/inet.h>

#include <algorithm>
#include <memory>

namespace jackdawwall {
namespace {

int lineAt(const std::string& text, std::ptrdiff_t offset)
{
    const auto end
        = text.begin() + std::min<std::ptrdiff_t>(offset, static_cast<std::ptrdiff_t>(text.size()));
    return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

Json::CharReaderBuilder readerBuilder()
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["stackLimit"] = 64;
    return builder;
}

} // namespace

bool isAddress(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    const bool hasZeroByte = text.find('\0') != std::string::npos; // Ends the text for inet_pton.
    if (colon == std::string::npos || hasZeroByte)
        return false;
    in_addr parsed {};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) != 1)
        return false;
    int port = -1;
    return absl::SimpleAtoi(text.substr(colon + 1), &port) && port >= 0 && port <= 65535;
}

std::optional<Json::Value> parseJson(const JsonSource& source)
{
    const std::unique_ptr<Json::CharReader> reader(readerBuilder().newCharReader());
    Json::Value root;
    std::string errors;
    const char* begin = source.text.data();
    bool isParsed = false;
    try {
        isParsed = reader->parse(begin, begin + source.text.size(), &root, &errors);
    } catch (const Json::Exception& error) {
        errors = error.what();
    }
    if (isParsed && root.isObject())
        return root;
    std::replace(errors.begin(), errors.end(), '\n', ' ');
    source.findings->push_back({ source.file, 1, "", errors.empty() ? "must be a JSON object" : errors });
    return std::nullopt;
}

std::string canonicalJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["commentStyle"] = "None";
    return Json::writeString(builder, value);
}

JsonReader::JsonReader(const JsonSource& source, const Json::Value& object, std::string path)
    : source_(source)
    , object_(object)
    , path_(std::move(path))
{
    if (!object_.isNull() && !object_.isObject())
        addFinding("", "must be an object");
}

const Json::Value* JsonReader::readValue(const std::string& key)
{
    readKeys_.insert(key);
    if (!object_.isObject() || !object_.isMember(key))
        return nullptr;
    return &object_[key];
}

int JsonReader::lineOf(const Json::Value& value) const
{
    return lineAt(source_.text, value.getOffsetStart());
}

void JsonReader::addFinding(const std::string& key, const std::string& message)
{
    const bool isPresent = object_.isObject() && object_.isMember(key);
    const int line = lineOf(isPresent ? object_[key] : object_);
    const std::string separator = path_.empty() || key.empty() ? "" : ".";
    source_.findings->push_back({ source_.file, line, absl::StrCat(path_, separator, key), message });
}

std::string JsonReader::text(const std::string& key, const std::string& fallback)
{
    const Json::Value* value = readValue(key);
    if (value == nullptr)
        return fallback;
    if (value->isString())
        return value->asString();
    addFinding(key, "must be a string");
    return fallback;
}

std::string JsonReader::requiredText(const std::string& key)
{
    const std::size_t before = source_.findings->size();
    std::string value = text(key, "");
    if (value.empty() && source_.findings->size() == before)
        addFinding(key, "is required");
    return value;
}

double JsonReader::number(const std::string& key, double fallback, double minValue, double maxValue)
{
    const Json::Value* value = readValue(key);
    if (value == nullptr)
        return fallback;
    if (!value->isNumeric()) {
        addFinding(key, "must be a number");
        return fallback;
    }
    const double result = value->asDouble();
    if (result >= minValue && result <= maxValue)
        return result;
    addFinding(key, absl::StrCat("must be between ", minValue, " and ", maxValue));
    return fallback;
}

std::int64_t JsonReader::integer(
    const std::string& key, std::int64_t fallback, std::int64_t minValue, std::int64_t maxValue)
{
    const Json::Value* value = readValue(key);
    if (value == nullptr)
        return fallback;
    if (!value->isInt64()) {
        addFinding(key, "must be an integer");
        return fallback;
    }
    const std::int64_t result = value->asInt64();
    if (result >= minValue && result <= maxValue)
        return result;
    addFinding(key, absl::StrCat("must be between ", minValue, " and ", maxValue));
    return fallback;
}

bool JsonReader::boolean(const std::string& key, bool fallback)
{
    const Json::Value* value = readValue(key);
    if (value == nullptr)
        return fallback;
    if (value->isBool())
        return value->asBool();
    addFinding(key, "must be true or false");
    return fallback;
}

absl::Duration JsonReader::milliseconds(
    const std::string& key, absl::Duration fallback, absl::Duration minValue, absl::Duration maxValue)
{
    const std::int64_t result = integer(key, absl::ToInt64Milliseconds(fallback),
        absl::ToInt64Milliseconds(minValue), absl::ToInt64Milliseconds(maxValue));
    return absl::Milliseconds(result);
}

std::string JsonReader::address(const std::string& key, const std::string& fallback)
{
    std::string value = text(key, fallback);
    if (isAddress(value))
        return value;
    addFinding(key, absl::StrCat("must be an address like 127.0.0.1:8080, not \"", value, "\""));
    return fallback;
}

std::vector<std::string> JsonReader::addresses(const std::string& key)
{
    std::vector<std::string> list;
    const Json::Value* value = readValue(key);
    if (value == nullptr)
        return list;
    if (!value->isArray()) {
        addFinding(key, "must be an array of addresses");
        return list;
    }
    for (const Json::Value& item : *value) {
        if (item.isString() && isAddress(item.asString()))
            list.push_back(item.asString());
        else
            addFinding(key, "contains an item that is not an address like 127.0.0.1:8080");
    }
    return list;
}

const Json::Value& JsonReader::object(const std::string& key)
{
    const Json::Value* value = readValue(key);
    if (value == nullptr)
        return Json::Value::nullSingleton();
    if (value->isObject())
        return *value;
    addFinding(key, "must be an object");
    return Json::Value::nullSingleton();
}

void JsonReader::reportUnknownKeys()
{
    if (!object_.isObject())
        return;
    for (const std::string& key : object_.getMemberNames()) {
        if (!readKeys_.contains(key))
            addFinding(key, "unknown key");
    }
}

} // namespace jackdawwall
