#include "node/object-api.h"

#include "adapter/json-reader.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <boost/asio/post.hpp>

#include <memory>

namespace jackdawwall {
namespace {

using relay::http::verb;

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(500);

absl::Status statusOf(unsigned code)
{
    switch (code) {
    case 404:
        return absl::NotFoundError("object not found");
    case 409:
        return absl::AbortedError("the stored version differs from the expected one");
    case 413:
        return absl::InvalidArgumentError("the value is too large");
    case 429:
        return absl::ResourceExhaustedError("the call rate limit of the platform is exceeded");
    case 503:
        return absl::UnavailableError("the platform is unavailable");
    default:
        return absl::InternalError(absl::StrCat("the platform responded with status ", code));
    }
}

absl::StatusOr<relay::Response> checkedResponse(relay::ExchangeResult result)
{
    if (result.status == relay::ExchangeStatus::NotSent)
        return absl::UnavailableError("the platform is unreachable");
    if (result.isTimedOut)
        return absl::DataLossError("the platform did not respond before the deadline");
    if (result.status != relay::ExchangeStatus::Complete)
        return absl::DataLossError("the response of the platform was lost or incomplete");
    if (relay::http::to_status_class(result.response.result()) != relay::http::status_class::successful)
        return statusOf(result.response.result_int());
    return std::move(result.response);
}

absl::StatusOr<StoredObject> parseObject(const std::string& key, absl::StatusOr<relay::Response> response)
{
    if (!response.ok())
        return response.status();
    StoredObject object { key, std::move(response->body()), 0 };
    if (!absl::SimpleAtoi(relay::headerValue(*response, "Version"), &object.version))
        return absl::NotFoundError("the response has no Version header");
    return object;
}

absl::StatusOr<std::vector<StoredObject>> parseObjects(const std::string& text)
{
    std::vector<Finding> findings;
    // parseJson accepts only objects, so the array is wrapped in one.
    const auto root = parseJson({ "list", absl::StrCat("{\"items\":", text, "}"), &findings });
    if (!root || !(*root)["items"].isArray())
        return absl::InternalError("the platform returned an invalid list");
    std::vector<StoredObject> objects;
    try {
        for (const Json::Value& item : (*root)["items"])
            objects.push_back(
                { item["key"].asString(), item["value"].asString(), item["version"].asUInt64() });
    } catch (const Json::Exception& error) {
        return absl::InternalError(error.what());
    }
    return objects;
}

/// Sends each call to the first reachable address.
class HttpObjectClient : public std::enable_shared_from_this<HttpObjectClient> {
public:
    using ResponseHandler = std::function<void(absl::StatusOr<relay::Response>)>;

    HttpObjectClient(relay::asio::io_context& loop, ObjectApiOptions options)
        : loop_(loop)
        , pool_(loop)
        , options_(std::move(options))
    {
    }

    void call(verb method, const std::string& target, const std::string& body, absl::Duration maxWait,
        ResponseHandler handler, std::size_t attempt = 0)
    {
        if (attempt >= options_.addresses.size()) {
            relay::asio::post(loop_, [handler = std::move(handler)] {
                handler(absl::UnavailableError("no platform address is reachable"));
            });
            return;
        }
        relay::Request request { method, target, 11 };
        request.set(relay::http::field::host, options_.addresses[attempt]);
        request.body() = body;
        request.prepare_payload();
        relay::ExchangeRequest exchange;
        exchange.bytes = relay::serializeRequest(request);
        exchange.connectTimeout = kConnectTimeout;
        pool_.sendWithTimeout(relay::parseEndpoint(options_.addresses[attempt]), std::move(exchange), maxWait,
            [self = shared_from_this(), method, target, body, maxWait, handler = std::move(handler), attempt](
                relay::ExchangeResult result) {
                absl::StatusOr<relay::Response> response = checkedResponse(std::move(result));
                const bool triesNextAddress
                    = absl::IsUnavailable(response.status()) && attempt + 1 < self->options_.addresses.size();
                if (triesNextAddress)
                    self->call(method, target, body, maxWait, handler, attempt + 1);
                else
                    handler(std::move(response));
            });
    }

    absl::Duration timeout() const { return options_.timeout; }

private:
    relay::asio::io_context& loop_;
    relay::UpstreamPool pool_;
    const ObjectApiOptions options_;
};

std::string objectPath(const std::string& key)
{
    return absl::StrCat("/v1/objects/", key);
}

std::string objectPath(const std::string& key, ObjectVersion ifVersion)
{
    return absl::StrCat(objectPath(key), "?if-version=", ifVersion);
}

} // namespace

ObjectApi connectObjectApi(relay::asio::io_context& loop, const ObjectApiOptions& options)
{
    const auto http = std::make_shared<HttpObjectClient>(loop, options);
    ObjectApi api;
    api.read = [http](const std::string& key, ObjectCallback<StoredObject> done) {
        http->call(verb::get, objectPath(key), "", http->timeout(),
            [key, done = std::move(done)](
                absl::StatusOr<relay::Response> response) { done(parseObject(key, std::move(response))); });
    };
    api.write = [http](const std::string& key, const std::string& value, ObjectVersion ifVersion,
                    ObjectCallback<ObjectVersion> done) {
        http->call(verb::put, objectPath(key, ifVersion), value, http->timeout(),
            [key, done = std::move(done)](absl::StatusOr<relay::Response> response) {
                const absl::StatusOr<StoredObject> written = parseObject(key, std::move(response));
                done(written.ok() ? absl::StatusOr<ObjectVersion>(written->version) : written.status());
            });
    };
    api.remove
        = [http](const std::string& key, ObjectVersion ifVersion, std::function<void(absl::Status)> done) {
              http->call(verb::delete_, objectPath(key, ifVersion), "", http->timeout(),
                  [done = std::move(done)](
                      const absl::StatusOr<relay::Response>& response) { done(response.status()); });
          };
    api.list = [http](const std::string& prefix, const std::string& afterKey,
                   ObjectCallback<std::vector<StoredObject>> done) {
        const std::string target = absl::StrCat("/v1/list?prefix=", prefix, "&after-key=", afterKey);
        http->call(verb::get, target, "", http->timeout(),
            [done = std::move(done)](const absl::StatusOr<relay::Response>& response) {
                done(response.ok() ? parseObjects(response->body())
                                   : absl::StatusOr<std::vector<StoredObject>>(response.status()));
            });
    };
    api.watch = [http](const std::string& key, ObjectVersion after, const WatchTiming& timing,
                    ObjectCallback<StoredObject> done) {
        const std::string target = absl::StrCat(
            "/v1/watch/", key, "?after=", after, "&timeout-ms=", absl::ToInt64Milliseconds(timing.wait));
        http->call(verb::get, target, "", timing.wait + timing.responseTimeout,
            [key, done = std::move(done)](
                absl::StatusOr<relay::Response> response) { done(parseObject(key, std::move(response))); });
    };
    return api;
}

} // namespace jackdawwall
