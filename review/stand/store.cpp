#include "store.hpp"

#include <memory>
#include <sstream>

namespace review {
namespace {

constexpr char kPath[] = "/jackdawwall/objects/";

std::string reply(int status, const Json::Value& value)
{
    return responseBytes(status, { { "Content-Type", "application/json" } }, toText(value));
}

std::string parameter(const std::string& target, const std::string& name)
{
    const auto query = target.find('?');
    if (query == std::string::npos)
        return "";
    std::istringstream parts(target.substr(query + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        if (part.rfind(name + "=", 0) == 0)
            return part.substr(name.size() + 1);
    }
    return "";
}

} // namespace

Json::Value parseJson(const std::string& text)
{
    Json::Value value;
    std::string errors;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
        return {};
    return value;
}

std::string toText(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Store::Store(const Endpoint& address)
    : server_(address, [this](Connection& connection) { serve(connection); })
{
}

Store::~Store()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_all();
    server_.stop();
}

void Store::put(const std::string& kind, const std::string& name, const Json::Value& spec)
{
    const std::lock_guard lock(mutex_);
    Json::Value value = objects_[kind][name].value;
    value["spec"] = spec;
    store(kind, name, value);
}

Json::Value Store::spec(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(mutex_);
    return objects_[kind][name].value["spec"];
}

void Store::serve(Connection& connection)
{
    while (const auto request = connection.readMessage(600'000)) {
        if (!connection.write(respond(*request)))
            return;
    }
}

std::string Store::respond(const Message& request)
{
    const std::string target = request.target();
    if (target.rfind(kPath, 0) != 0)
        return reply(404, Json::objectValue);
    const std::string path = target.substr(sizeof kPath - 1, target.find('?') - (sizeof kPath - 1));
    const auto slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    const auto statusPart = name.find("/status");
    const bool isStatus = statusPart != std::string::npos;
    name = name.substr(0, statusPart);
    if (const std::string after = parameter(target, "watch"); !after.empty())
        return watch(kind, std::stoull(after), std::atoll(parameter(target, "wait_ms").c_str()));
    const std::lock_guard lock(mutex_);
    if (request.method() != "GET")
        return write(request, kind, name, isStatus);
    if (name.empty())
        return list(kind, parameter(target, "after"));
    const auto found = objects_[kind].find(name);
    return found == objects_[kind].end() ? reply(404, Json::objectValue) : reply(200, found->second.value);
}

std::string Store::list(const std::string& kind, const std::string& after)
{
    Json::Value result;
    result["items"] = Json::Value(Json::arrayValue);
    for (const auto& [name, object] : objects_[kind]) {
        if (after.empty() || name > after)
            result["items"].append(object.value);
    }
    result["has_more"] = false;
    result["at_rev"] = Json::UInt64(revision_);
    return reply(200, result);
}

std::string Store::watch(const std::string& kind, std::uint64_t after, std::int64_t waitMs)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    std::unique_lock lock(mutex_);
    Json::Value result;
    result["events"] = Json::Value(Json::arrayValue);
    const auto collect = [&] {
        for (const Event& event : events_) {
            if (event.revision <= after || event.kind != kind)
                continue;
            Json::Value entry;
            entry["object"] = event.value;
            entry["deleted"] = event.isDeleted;
            result["events"].append(entry);
        }
        return isStopping_ || !result["events"].empty();
    };
    changed_.wait_until(lock, deadline, collect);
    result["at_rev"] = Json::UInt64(revision_);
    return reply(200, result);
}

std::string Store::write(const Message& request, const std::string& kind, std::string name, bool isStatus)
{
    const Json::Value body = parseJson(request.body);
    if (request.method() == "POST")
        name = body["metadata"]["name"].asString();
    auto& ofKind = objects_[kind];
    const auto found = ofKind.find(name);
    const bool exists = found != ofKind.end();
    if (request.method() == "POST" && exists)
        return reply(409, found->second.value);
    if (request.method() != "POST" && !exists)
        return reply(404, Json::objectValue);
    const std::string queried = parameter(request.target(), "revision");
    const std::uint64_t condition
        = queried.empty() ? body["metadata"].get("revision", 0).asUInt64() : std::stoull(queried);
    if (exists && condition != 0 && condition != found->second.revision)
        return reply(409, found->second.value);
    if (request.method() == "DELETE") {
        const Json::Value old = found->second.value;
        ofKind.erase(found);
        events_.push_back({ ++revision_, kind, old, true });
        changed_.notify_all();
        return reply(200, old);
    }
    Json::Value value = exists ? found->second.value : Json::Value();
    value["metadata"]["name"] = name;
    const Json::Value before = value;
    if (isStatus) {
        value["status"] = body["status"];
    } else {
        value["spec"] = body["spec"];
        if (body["metadata"].isMember("finalizers"))
            value["metadata"]["finalizers"] = body["metadata"]["finalizers"];
    }
    if (!exists || value != before)
        store(kind, name, value);
    return reply(200, ofKind[name].value);
}

void Store::store(const std::string& kind, const std::string& name, Json::Value value)
{
    value["metadata"]["name"] = name;
    value["metadata"]["revision"] = Json::UInt64(++revision_);
    if (!value["metadata"].isMember("created"))
        value["metadata"]["created"] = Json::UInt64(revision_);
    if (!value["metadata"].isMember("finalizers"))
        value["metadata"]["finalizers"] = Json::Value(Json::arrayValue);
    value["metadata"]["deleting"] = false;
    if (!value.isMember("status"))
        value["status"] = Json::Value();
    objects_[kind][name] = { value, revision_ };
    events_.push_back({ revision_, kind, value, false });
    changed_.notify_all();
}

} // namespace review
