#include "adapter/connection-pool.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace jackdawwall {
namespace {

constexpr std::size_t kMostIdlePerDestination = 64;

absl::Status failureOf(const Exchange& exchange, const std::string& destination)
{
    if (exchange.end() == ExchangeEnd::NotSent)
        return absl::UnavailableError(absl::StrCat(destination, " can't be reached"));
    if (exchange.end() == ExchangeEnd::TimedOut)
        return absl::DataLossError(absl::StrCat("no answer from ", destination, " in time"));
    return absl::DataLossError(absl::StrCat("the answer of ", destination, " was lost"));
}

} // namespace

std::unique_ptr<Exchange> ConnectionPool::borrow(const std::string& destination)
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

void ConnectionPool::giveBack(const std::string& destination, std::unique_ptr<Exchange> exchange)
{
    if (!exchange->isReusable())
        return;
    const absl::MutexLock lock(&mutex_);
    auto& kept = idle_[destination];
    if (kept.size() < kMostIdlePerDestination)
        kept.push_back(std::move(exchange));
}

void ConnectionPool::dropIdle(const std::string& destination)
{
    std::vector<std::unique_ptr<Exchange>> dropped;
    const absl::MutexLock lock(&mutex_);
    const auto found = idle_.find(destination);
    if (found != idle_.end())
        dropped.swap(found->second);
}

void ConnectionPool::expire(absl::Time before)
{
    const absl::MutexLock lock(&mutex_);
    for (auto& [destination, kept] : idle_)
        std::erase_if(kept, [&](const auto& exchange) { return exchange->lastUsed() < before; });
    absl::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

std::size_t ConnectionPool::idleCount() const
{
    const absl::MutexLock lock(&mutex_);
    std::size_t count = 0;
    for (const auto& [destination, kept] : idle_)
        count += kept.size();
    return count;
}

absl::StatusOr<HttpResponse> fetch(ConnectionPool& pool, const std::string& destination,
    const ExchangeRequest& request, std::size_t longestBody)
{
    std::unique_ptr<Exchange> exchange = pool.borrow(destination);
    exchange->start(request);
    HttpResponse answer;
    if (exchange->awaitHead()) {
        std::array<char, 16384> part {};
        while (answer.body.size() <= longestBody) {
            const std::size_t bytes = exchange->read(absl::MakeSpan(part));
            if (bytes == 0)
                break;
            answer.body.append(part.data(), bytes);
        }
    }
    exchange->cancel(ExchangeEnd::Lost);
    if (exchange->end() != ExchangeEnd::Complete)
        return failureOf(*exchange, destination);
    answer.status = exchange->status();
    answer.headers = exchange->headers();
    pool.giveBack(destination, std::move(exchange));
    return answer;
}

} // namespace jackdawwall
