#include "adapter/connection-pool.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace jackdawwall {
namespace {

constexpr std::size_t kMaxIdlePerDestination = 64;

absl::Status failureStatus(const Exchange& exchange, const std::string& destination)
{
    if (exchange.state() == ExchangeState::NotSent)
        return absl::UnavailableError(absl::StrCat(destination, " is unreachable"));
    if (exchange.state() == ExchangeState::TimedOut)
        return absl::DataLossError(absl::StrCat("no response from ", destination, " before the deadline"));
    return absl::DataLossError(absl::StrCat("the response from ", destination, " was lost or incomplete"));
}

} // namespace

std::unique_ptr<Exchange> ConnectionPool::acquire(const std::string& destination)
{
    {
        const absl::MutexLock lock(&mutex_);
        const auto found = idle_.find(destination);
        if (found != idle_.end() && !found->second.empty()) {
            std::unique_ptr<Exchange> exchange = std::move(found->second.back());
            found->second.pop_back();
            return exchange;
        }
    }
    absl::StatusOr<std::unique_ptr<Exchange>> created = Exchange::create();
    if (!created.ok())
        throw std::runtime_error(std::string(created.status().message()));
    return *std::move(created);
}

void ConnectionPool::release(const std::string& destination, std::unique_ptr<Exchange> exchange)
{
    if (!exchange->isReusable())
        return;
    const absl::MutexLock lock(&mutex_);
    auto& idle = idle_[destination];
    if (idle.size() < kMaxIdlePerDestination)
        idle.push_back(std::move(exchange));
}

void ConnectionPool::closeIdle(const std::string& destination)
{
    std::vector<std::unique_ptr<Exchange>> closed;
    const absl::MutexLock lock(&mutex_);
    const auto found = idle_.find(destination);
    if (found != idle_.end())
        closed.swap(found->second);
}

void ConnectionPool::evictIdle(absl::Time before)
{
    const absl::MutexLock lock(&mutex_);
    for (auto& [destination, idle] : idle_)
        std::erase_if(idle, [&](const auto& exchange) { return exchange->lastUsed() < before; });
    absl::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

std::size_t ConnectionPool::idleCount() const
{
    const absl::MutexLock lock(&mutex_);
    std::size_t count = 0;
    for (const auto& [destination, idle] : idle_)
        count += idle.size();
    return count;
}

absl::StatusOr<HttpResponse> fetch(ConnectionPool& pool, const std::string& destination,
    const ExchangeRequest& request, std::size_t maxBodyBytes)
{
    std::unique_ptr<Exchange> exchange = pool.acquire(destination);
    exchange->start(request);
    HttpResponse response;
    if (exchange->awaitHeaders()) {
        std::array<char, 16384> buffer {};
        while (response.body.size() <= maxBodyBytes) {
            const std::size_t bytes = exchange->read(absl::MakeSpan(buffer));
            if (bytes == 0)
                break;
            response.body.append(buffer.data(), bytes);
        }
    }
    exchange->cancel(ExchangeState::Lost);
    if (exchange->state() != ExchangeState::Complete)
        return failureStatus(*exchange, destination);
    response.status = exchange->status();
    response.headers = exchange->headers();
    pool.release(destination, std::move(exchange));
    return response;
}

} // namespace jackdawwall
