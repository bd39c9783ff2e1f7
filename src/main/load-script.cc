#include "main/load-script.h"

#include "adapter/json-reader.h"

#include "absl/strings/str_cat.h"

namespace jackdawwall {
namespace {

LoadPhase readPhase(JsonReader& reader)
{
    LoadPhase phase;
    phase.name = reader.requiredText("name");
    phase.length = reader.milliseconds("ms", absl::Seconds(1), absl::Milliseconds(1), absl::Minutes(10));
    phase.callsPerSecond = reader.number("callsPerSecond", 0, 0, 1e6);
    return phase;
}

LoadKind readKind(JsonReader& reader)
{
    LoadKind kind;
    kind.kind = reader.requiredText("kind");
    kind.caller = reader.text("caller", "default");
    kind.service = reader.text("service", "");
    kind.share = reader.number("share", 1, 0, 1e6);
    kind.bodyBytes = reader.integer("bodyBytes", 0, 0, 1LL << 30);
    kind.deadline
        = reader.milliseconds("deadlineMs", kind.deadline, absl::Milliseconds(1), absl::Minutes(10));
    kind.isAtMostOnce = reader.boolean("once", false);
    return kind;
}

/// Calls `read` for each object of the array `key`.
template <typename Read>
void readList(const JsonSource& source, const Json::Value& root, const char* key, Read read)
{
    if (!root[key].isArray() || root[key].empty()) {
        source.findings->push_back({ source.file, 1, key, "must be a non-empty array" });
        return;
    }
    for (Json::ArrayIndex index = 0; index < root[key].size(); ++index) {
        JsonReader reader(source, root[key][index], absl::StrCat(key, "[", index, "]"));
        read(reader);
        reader.reportUnknownKeys();
    }
}

} // namespace

LoadScript readLoadScript(const std::string& file, std::vector<Finding>& findings)
{
    LoadScript script;
    const std::string text = readFile(file, findings);
    const JsonSource source { file, text, &findings };
    const std::optional<Json::Value> root = findings.empty() ? parseJson(source) : std::nullopt;
    if (!root)
        return script;
    readList(
        source, *root, "phases", [&](JsonReader& reader) { script.phases.push_back(readPhase(reader)); });
    readList(source, *root, "mix", [&](JsonReader& reader) { script.kinds.push_back(readKind(reader)); });
    Json::Value rest = *root;
    rest.removeMember("phases");
    rest.removeMember("mix");
    JsonReader reader(source, rest, "");
    script.retries = static_cast<int>(reader.integer("retries", 0, 0, 100));
    script.honoursHint = reader.boolean("honoursHint", false);
    script.threads = static_cast<int>(reader.integer("threads", script.threads, 1, 2000));
    script.seed = static_cast<std::uint64_t>(reader.integer("seed", 1, 0, 1'000'000'000));
    reader.reportUnknownKeys();
    return script;
}

} // namespace jackdawwall
