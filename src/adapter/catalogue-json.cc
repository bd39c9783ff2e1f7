#include "adapter/catalogue-json.h"

#include "adapter/json-reader.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <limits>
#include <regex>

namespace jackdawwall {
namespace {

constexpr absl::string_view kCallerPrefix = "caller/";
constexpr absl::string_view kWorkPrefix = "work/";
constexpr std::size_t kMaxNameBytes = 128;
constexpr double kMaxCallsPerSecond = 1e7;
constexpr std::int64_t kMaxAttempts = 16;
constexpr std::int64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();

bool isNameCharacter(char character)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_'
        || character == '.';
}

bool isName(absl::string_view name)
{
    if (name.empty() || name.size() > kMaxNameBytes)
        return false;
    for (const char character : name) {
        if (!isNameCharacter(character))
            return false;
    }
    return true;
}

CallerEntry readCaller(JsonReader& reader, absl::string_view name)
{
    CallerEntry entry;
    entry.name = std::string(name);
    entry.owner = reader.requiredText("owner");
    entry.weight = reader.number("weight", 1, 0.01, 1000);
    entry.callsPerSecond = reader.number("callsPerSecond", 0, 0, kMaxCallsPerSecond);
    return entry;
}

bool readIdempotency(JsonReader& reader)
{
    const std::string repeat = reader.text("repeat", "idempotent");
    if (repeat != "idempotent" && repeat != "never")
        reader.addFinding("repeat", "must be \"idempotent\" or \"never\"");
    return repeat == "idempotent";
}

Priority readPriority(JsonReader& reader)
{
    const std::string text = reader.requiredText("class");
    const std::optional<Priority> priority = priorityFromText(text);
    if (!text.empty() && !priority)
        reader.addFinding("class", "must be critical, interactive, browse or bulk");
    return priority.value_or(Priority::Bulk);
}

WorkEntry readWork(JsonReader& reader, absl::string_view name)
{
    WorkEntry entry;
    entry.name = std::string(name);
    entry.owner = reader.requiredText("owner");
    entry.service = reader.text("service", "");
    entry.priority = readPriority(reader);
    entry.isIdempotent = readIdempotency(reader);
    entry.deadline
        = reader.milliseconds("deadlineMs", entry.deadline, absl::Milliseconds(1), absl::Minutes(10));
    entry.attempts = static_cast<std::uint32_t>(reader.integer("attempts", entry.attempts, 0, kMaxAttempts));
    return entry;
}

/// Reads one entry into the catalogue; reports a finding when its name has no known form.
void readEntry(
    const JsonSource& source, const std::string& key, const Json::Value& value, Catalogue& catalogue)
{
    JsonReader reader(source, value, key);
    const absl::string_view view = key;
    if (absl::StartsWith(view, kCallerPrefix) && isName(view.substr(kCallerPrefix.size()))) {
        const CallerEntry entry = readCaller(reader, view.substr(kCallerPrefix.size()));
        catalogue.callers[entry.name] = entry;
    } else if (absl::StartsWith(view, kWorkPrefix) && isName(view.substr(kWorkPrefix.size()))) {
        const WorkEntry entry = readWork(reader, view.substr(kWorkPrefix.size()));
        catalogue.works[entry.name] = entry;
    } else {
        reader.addFinding("",
            "must be named caller/NAME or work/NAME, where NAME consists of letters, digits, '-', '_' and "
            "'.'");
    }
    reader.reportUnknownKeys();
}

DocumentEntry readDocumentEntry(const JsonSource& source, const std::string& key, const Json::Value& value)
{
    JsonReader reader(source, value, key);
    DocumentEntry entry;
    entry.value = canonicalJson(reader.object("value"));
    entry.changedAfter = static_cast<CatalogueVersion>(reader.integer("changedAfter", 0, 0, kMaxVersion));
    entry.addedAfter = static_cast<CatalogueVersion>(reader.integer("addedAfter", 0, 0, kMaxVersion));
    reader.reportUnknownKeys();
    return entry;
}

void readRemoved(const Json::Value& removed, CatalogueDocument& document)
{
    for (const std::string& name : removed.getMemberNames()) {
        if (removed[name].isUInt64())
            document.removed[name] = removed[name].asUInt64();
    }
}

void readApplyIds(const Json::Value& ids, CatalogueDocument& document)
{
    for (const Json::Value& id : ids) {
        if (id.isString())
            document.applyIds.push_back(id.asString());
    }
}

Json::Value parseEntry(const std::string& text)
{
    std::vector<Finding> ignored;
    return parseJson({ "", text, &ignored }).value_or(Json::Value(Json::objectValue));
}

} // namespace

CatalogueFile readCatalogueFile(
    const std::string& file, const std::string& text, std::vector<Finding>& findings)
{
    CatalogueFile result;
    const JsonSource source { file, text, &findings };
    const std::optional<Json::Value> root = parseJson(source);
    if (!root)
        return result;
    JsonReader reader(source, *root, "");
    result.basedOn = static_cast<CatalogueVersion>(reader.integer("basedOn", 0, 0, kMaxVersion));
    const Json::Value& entries = reader.object("entries");
    reader.reportUnknownKeys();
    if (entries.isNull())
        reader.addFinding("entries", "is required");
    Catalogue checked;
    for (const std::string& name : entries.getMemberNames()) {
        readEntry(source, name, entries[name], checked);
        result.entries[name] = canonicalJson(entries[name]);
    }
    return result;
}

std::optional<CatalogueDocument> readDocument(const std::string& text, std::vector<Finding>& findings)
{
    const std::size_t before = findings.size();
    const JsonSource source { "stored catalogue", text, &findings };
    const std::optional<Json::Value> root = parseJson(source);
    if (!root)
        return std::nullopt;
    CatalogueDocument document;
    JsonReader reader(source, *root, "");
    const Json::Value& entries = reader.object("entries");
    readRemoved(reader.object("removed"), document);
    if ((*root)["applyIds"].isArray())
        readApplyIds((*root)["applyIds"], document);
    for (const std::string& name : entries.getMemberNames())
        document.entries[name] = readDocumentEntry(source, name, entries[name]);
    if (findings.size() > before)
        return std::nullopt;
    return document;
}

std::string writeDocument(const CatalogueDocument& document)
{
    Json::Value root(Json::objectValue);
    Json::Value& entries = root["entries"] = Json::Value(Json::objectValue);
    for (const auto& [name, entry] : document.entries) {
        entries[name]["value"] = parseEntry(entry.value);
        entries[name]["changedAfter"] = Json::UInt64(entry.changedAfter);
        entries[name]["addedAfter"] = Json::UInt64(entry.addedAfter);
    }
    Json::Value& removed = root["removed"] = Json::Value(Json::objectValue);
    for (const auto& [name, version] : document.removed)
        removed[name] = Json::UInt64(version);
    Json::Value& ids = root["applyIds"] = Json::Value(Json::arrayValue);
    for (const std::string& id : document.applyIds)
        ids.append(id);
    return canonicalJson(root);
}

Catalogue toCatalogue(
    const CatalogueDocument& document, CatalogueVersion version, std::vector<Finding>& findings)
{
    Catalogue catalogue;
    catalogue.version = version;
    for (const auto& [name, entry] : document.entries) {
        const JsonSource source { absl::StrCat("stored catalogue ", version), entry.value, &findings };
        readEntry(source, name, parseEntry(entry.value), catalogue);
    }
    return catalogue;
}

std::string replaceBasedOn(const std::string& text, CatalogueVersion version)
{
    static const std::regex pattern("\"basedOn\"\\s*:\\s*([0-9]+)");
    std::smatch match;
    if (!std::regex_search(text, match, pattern))
        return text;
    return absl::StrCat(text.substr(0, static_cast<std::size_t>(match.position(1))), version,
        text.substr(static_cast<std::size_t>(match.position(1) + match.length(1))));
}

std::string writeCatalogueFile(const CatalogueDocument& document, CatalogueVersion version)
{
    Json::Value root(Json::objectValue);
    root["basedOn"] = Json::UInt64(version);
    Json::Value& entries = root["entries"] = Json::Value(Json::objectValue);
    for (const auto& [name, entry] : document.entries)
        entries[name] = parseEntry(entry.value);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "    ";
    return Json::writeString(builder, root) + "\n";
}

} // namespace jackdawwall
