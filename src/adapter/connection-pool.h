/// Kept exchanges by destination, shared by all threads of a process.
#pragma once

#include "adapter/exchange.h"

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

#include <memory>
#include <string>
#include <vector>

namespace jackdawwall {

class ConnectionPool {
public:
    /// The most recently used exchange of a destination, else a new one. Throws std::runtime_error when
    /// there is no memory.
    std::unique_ptr<Exchange> acquire(const std::string& destination);

    /// Keeps an exchange whose connection may serve again; drops any other.
    void release(const std::string& destination, std::unique_ptr<Exchange> exchange);

    /// Drops the idle connections of a destination: one of them was found dead.
    void closeIdle(const std::string& destination);

    /// Drops connections that were idle since before `before`.
    void evictIdle(absl::Time before);

    /// Connections kept idle now.
    std::size_t idleCount() const;

private:
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<std::string, std::vector<std::unique_ptr<Exchange>>> idle_;
};

/// A whole small answer.
struct HttpResponse {
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
};

/// Sends one request with a whole body and reads the whole answer, at most `longestBody` bytes. The status
/// is Unavailable when nothing was sent, DataLoss when the request may have taken effect.
absl::StatusOr<HttpResponse> fetch(ConnectionPool& pool, const std::string& destination,
    const ExchangeRequest& request, std::size_t maxBodyBytes);

} // namespace jackdawwall
