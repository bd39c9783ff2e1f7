#include "adapter/platform-client.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"

#include <json/json.h>

#include <algorithm>
#include <memory>
#include <sstream>

namespace jackdawwall {
namespace {

constexpr std::size_t kLongestAnswerBytes = 64U << 20;

absl::Status statusOf(int code)
{
    switch (code) {
    case 404:
        return absl::NotFoundError("no such object");
    case 409:
        return absl::AbortedError("the stored version is another one");
    case 413:
        return absl::InvalidArgumentError("the value is too large");
    case 429:
        return absl::ResourceExhaustedError("over the platform's call rate");
    case 503:
        return absl::UnavailableError("the platform is down");
    default:
        return absl::InternalError(absl::StrCat("the platform answered ", code));
    }
}

/// Sends calls to the first address that can be reached.
class HttpPlatform {
public:
    HttpPlatform(PlatformOptions options, ConnectionPool& pool)
        : options_(std::move(options))
        , pool_(pool)
    {
    }

    absl::StatusOr<HttpAnswer> call(
        const std::string& method, const std::string& target, absl::string_view body, absl::Duration timeout)
    {
        absl::Status last = absl::UnavailableError("no platform address is set");
        for (const std::string& address : options_.addresses) {
            ExchangeRequest request;
            request.method = method;
            request.url = absl::StrCat("http://", address, target);
            request.body = body;
            request.deadline = absl::Now() + timeout;
            absl::StatusOr<HttpAnswer> answer = fetch(pool_, address, request, kLongestAnswerBytes);
            if (answer.ok() && answer->status < 300)
                return answer;
            last = answer.ok() ? statusOf(answer->status) : answer.status();
            if (!absl::IsUnavailable(last))
                return last;
        }
        return last;
    }

    absl::StatusOr<StoredObject> read(const std::string& key)
    {
        return objectOf(key, call("GET", absl::StrCat("/v1/objects/", key), "", options_.timeout));
    }

    absl::StatusOr<ObjectVersion> write(
        const std::string& key, const std::string& value, ObjectVersion ifVersion)
    {
        const std::string target = absl::StrCat("/v1/objects/", key, "?if-version=", ifVersion);
        absl::StatusOr<StoredObject> written = objectOf(key, call("PUT", target, value, options_.timeout));
        if (!written.ok())
            return written.status();
        return written->version;
    }

    absl::Status remove(const std::string& key, ObjectVersion ifVersion)
    {
        const std::string target = absl::StrCat("/v1/objects/", key, "?if-version=", ifVersion);
        return call("DELETE", target, "", options_.timeout).status();
    }

    absl::StatusOr<StoredObject> watch(const std::string& key, ObjectVersion after, absl::Duration longest)
    {
        const std::string target = absl::StrCat(
            "/v1/watch/", key, "?after=", after, "&timeout-ms=", absl::ToInt64Milliseconds(longest));
        return objectOf(key, call("GET", target, "", longest + options_.timeout));
    }

    absl::StatusOr<std::vector<StoredObject>> list(const std::string& prefix, const std::string& afterKey)
    {
        const std::string target = absl::StrCat("/v1/list?prefix=", prefix, "&after-key=", afterKey);
        absl::StatusOr<HttpAnswer> answer = call("GET", target, "", options_.timeout);
        if (!answer.ok())
            return answer.status();
        return parseList(answer->body);
    }

private:
    static absl::StatusOr<StoredObject> objectOf(const std::string& key, absl::StatusOr<HttpAnswer> answer)
    {
        if (!answer.ok())
            return answer.status();
        StoredObject object { key, std::move(answer->body), 0 };
        if (!absl::SimpleAtoi(findHeader(answer->headers, "Version"), &object.version))
            return absl::NotFoundError("no version in the answer");
        return object;
    }

    static absl::StatusOr<std::vector<StoredObject>> parseList(const std::string& text)
    {
        Json::Value root;
        std::istringstream stream(text);
        std::string errors;
        if (!Json::parseFromStream(Json::CharReaderBuilder(), stream, &root, &errors) || !root.isArray())
            return absl::InternalError("the platform's list can't be read");
        std::vector<StoredObject> objects;
        for (const Json::Value& item : root)
            objects.push_back(
                { item["key"].asString(), item["value"].asString(), item["version"].asUInt64() });
        return objects;
    }

    const PlatformOptions options_;
    ConnectionPool& pool_;
};

} // namespace

Platform connectPlatform(const PlatformOptions& options, ConnectionPool& pool)
{
    auto http = std::make_shared<HttpPlatform>(options, pool);
    Platform platform;
    platform.read = [http](const std::string& key) { return http->read(key); };
    platform.write = [http](const std::string& key, const std::string& value, ObjectVersion ifVersion) {
        return http->write(key, value, ifVersion);
    };
    platform.remove
        = [http](const std::string& key, ObjectVersion ifVersion) { return http->remove(key, ifVersion); };
    platform.list = [http](const std::string& prefix, const std::string& afterKey) {
        return http->list(prefix, afterKey);
    };
    platform.watch = [http](const std::string& key, ObjectVersion after, absl::Duration longest) {
        return http->watch(key, after, longest);
    };
    return platform;
}

} // namespace jackdawwall
