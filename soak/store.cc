#include "store.h"

#include "adapter/json-reader.h"
#include "wire-names.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace jackdawwall::soak {
namespace {

using relay::http::status;
using relay::http::verb;

constexpr auto kWatchPollInterval = std::chrono::milliseconds(5);

/// Content of foreign entries: too deep, or with numbers or fields that no reader can use.
std::vector<std::string> foreignContents()
{
    constexpr std::size_t kDepth = 5000;
    return { absl::StrCat(std::string(kDepth, '['), std::string(kDepth, ']')), "1e400",
        "12345678901234567890123456", R"({"address":"127.0.0.1:99999","service":[]})", R"("text")", "null",
        R"({"leftTarget":{},"leftStartedAt":-1})" };
}

Json::Value objectJson(const std::string& name, std::uint64_t revision, const Json::Value& content)
{
    Json::Value object;
    object["metadata"]["name"] = name;
    object["metadata"]["revision"] = Json::UInt64(revision);
    object["spec"] = content;
    return object;
}

std::uint64_t numericParameter(absl::string_view text, absl::string_view name)
{
    const std::size_t position = text.find(name);
    std::uint64_t number = 0;
    if (position == absl::string_view::npos)
        return 0;
    const absl::string_view value = text.substr(position + name.size());
    static_cast<void>(absl::SimpleAtoi(value.substr(0, value.find('&')), &number)); // Stays 0 if invalid.
    return number;
}

} // namespace

Store::Store(relay::asio::io_context& loop, relay::Tcp::acceptor acceptor, std::uint64_t seed)
    : loop_(loop)
    , address_(relay::localAddress(acceptor))
    , timer_(loop)
    , random_(seed)
    , listener_(loop, std::move(acceptor),
          [this](const relay::IncomingRequestPtr& incoming) { onRequest(incoming); })
{
    serveWatches();
}

void Store::put(const std::string& kind, const std::string& name, const Json::Value& content)
{
    objects_[kind][name] = { ++revision_, content };
}

void Store::addForeignEntries(const std::string& kind)
{
    foreignSince_[kind] = ++revision_;
}

std::string Store::addForeignEntries(std::string reply, const std::string& kind, std::uint64_t after) const
{
    const auto found = foreignSince_.find(kind);
    if (found == foreignSince_.end() || found->second <= after)
        return reply;
    std::string entries;
    for (const std::string& content : foreignContents()) {
        const std::string object = absl::StrCat(R"({"metadata":{"name":"foreign)", entries.size(),
            R"(","revision":)", found->second, R"(},"spec":)", content, "}");
        absl::StrAppend(&entries, R"({"object":)", object, R"(,"deleted":false,)", object.substr(1), ",");
    }
    const std::size_t start = reply.find('[') + 1;
    if (reply[start] == ']')
        entries.pop_back();
    return reply.insert(start, entries);
}

void Store::dropHistory()
{
    oldestRevision_ = revision_;
}

void Store::onRequest(const relay::IncomingRequestPtr& incoming)
{
    if (faults.isSilent)
        return;
    const std::string target(incoming->request.target());
    if (faults.isDown || !absl::StartsWith(target, platform::kObjectsPath)) {
        respond(incoming, relay::makeTextResponse(status::service_unavailable, "down\n"));
        return;
    }
    const std::string path = target.substr(sizeof platform::kObjectsPath - 1);
    const std::vector<std::string> parts = absl::StrSplit(path.substr(0, path.find('?')), '/');
    const std::string name = parts.size() > 1 ? parts[1] : "";
    if (absl::StrContains(target, "watch=")) {
        watch(incoming, parts[0]);
    } else if (incoming->request.method() != verb::get) {
        const relay::Response response = write(incoming, parts[0], name);
        const bool isLost = std::uniform_real_distribution<>(0, 1)(random_) < faults.lostResponseProbability;
        if (!isLost)
            respond(incoming, response);
    } else if (name.empty()) {
        respond(incoming, list(parts[0]));
    } else if (objects_[parts[0]].contains(name)) {
        const Object& object = objects_[parts[0]][name];
        respond(incoming,
            relay::makeJsonResponse(
                status::ok, canonicalJson(objectJson(name, object.revision, object.content))));
    } else {
        respond(incoming, relay::makeTextResponse(status::not_found, ""));
    }
}

void Store::respond(const relay::IncomingRequestPtr& incoming, const relay::Response& response)
{
    auto timer = std::make_shared<relay::asio::steady_timer>(loop_, absl::ToChronoMicroseconds(faults.delay));
    timer->async_wait(
        [timer, incoming, response](const boost::system::error_code&) { incoming->respond(response); });
}

relay::Response Store::write(
    const relay::IncomingRequestPtr& incoming, const std::string& kind, std::string name)
{
    std::vector<Finding> findings;
    const auto body = parseJson({ "object", incoming->request.body(), &findings });
    if (!body)
        return relay::makeTextResponse(status::bad_request, "");
    const bool isCreate = incoming->request.method() == verb::post;
    if (isCreate)
        name = (*body)["metadata"]["name"].asString();
    const bool exists = objects_[kind].contains(name);
    if (!isCreate && !exists)
        return relay::makeTextResponse(status::not_found, "");
    const Json::Value& condition = (*body)["metadata"]["revision"];
    if (exists
        && (isCreate || (condition.isUInt64() && condition.asUInt64() != objects_[kind][name].revision)))
        return relay::makeJsonResponse(status::conflict,
            canonicalJson(objectJson(name, objects_[kind][name].revision, objects_[kind][name].content)));
    put(kind, name, (*body)["spec"]);
    return relay::makeJsonResponse(status::ok, canonicalJson(objectJson(name, revision_, (*body)["spec"])));
}

relay::Response Store::list(const std::string& kind)
{
    Json::Value reply;
    reply["items"] = Json::Value(Json::arrayValue);
    for (const auto& [name, object] : objects_[kind])
        reply["items"].append(objectJson(name, object.revision, object.content));
    reply["at_rev"] = Json::UInt64(revision_);
    reply["has_more"] = false;
    return relay::makeJsonResponse(status::ok, addForeignEntries(canonicalJson(reply), kind, 0));
}

void Store::watch(const relay::IncomingRequestPtr& incoming, const std::string& kind)
{
    const std::string target(incoming->request.target());
    const absl::Duration timeout
        = absl::Milliseconds(static_cast<std::int64_t>(numericParameter(target, "wait_ms=")));
    watches_.push_back({ kind, numericParameter(target, "watch="), relay::steadyNow() + timeout, incoming });
}

Json::Value Store::changes(const std::string& kind, std::uint64_t after) const
{
    Json::Value events(Json::arrayValue);
    const auto found = objects_.find(kind);
    if (found == objects_.end())
        return events;
    for (const auto& [name, object] : found->second) {
        if (object.revision <= after)
            continue;
        Json::Value event;
        event["object"] = objectJson(name, object.revision, object.content);
        event["deleted"] = false;
        events.append(event);
    }
    return events;
}

void Store::serveWatches()
{
    const absl::Time now = relay::steadyNow();
    std::erase_if(watches_, [&](const Watch& waiting) {
        if (faults.isSilent)
            return false;
        if (waiting.after < oldestRevision_ && oldestRevision_ > 1) {
            respond(waiting.incoming, relay::makeTextResponse(status::gone, ""));
            return true;
        }
        const Json::Value events = changes(waiting.kind, waiting.after);
        const auto foreign = foreignSince_.find(waiting.kind);
        const bool isUnchanged
            = events.empty() && (foreign == foreignSince_.end() || foreign->second <= waiting.after);
        if (isUnchanged && now < waiting.until)
            return false;
        Json::Value reply;
        reply["events"] = events;
        reply["at_rev"] = Json::UInt64(revision_);
        respond(waiting.incoming,
            relay::makeJsonResponse(
                status::ok, addForeignEntries(canonicalJson(reply), waiting.kind, waiting.after)));
        return true;
    });
    timer_.expires_after(kWatchPollInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            serveWatches();
    });
}

} // namespace jackdawwall::soak
