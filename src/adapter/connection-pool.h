/// A pool of reusable HTTP connections, keyed by destination and shared by all threads of a process.
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
    /// Returns the most recently used idle exchange of a destination, or a new one. Throws std::runtime_error
    /// when an exchange can't be created, e.g. for lack of memory.
    std::unique_ptr<Exchange> acquire(const std::string& destination);

    /// Returns an exchange to the pool if its connection is reusable; closes it otherwise.
    void release(const std::string& destination, std::unique_ptr<Exchange> exchange);

    /// Closes the idle connections of a destination, after one of them was found to be dead.
    void closeIdle(const std::string& destination);

    /// Closes connections last used before `before`.
    void evictIdle(absl::Time before);

    /// Number of idle connections.
    std::size_t idleCount() const;

private:
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<std::string, std::vector<std::unique_ptr<Exchange>>> idle_;
};

/// A complete response with its body in memory.
struct HttpResponse {
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
};

/// Sends one request with a complete body and reads the response. Stops reading once the body exceeds
/// `maxBodyBytes`, which is an error unless the entire response has already been received. The error is
/// Unavailable when nothing was sent, and DataLoss when the request may have taken effect.
absl::StatusOr<HttpResponse> fetch(ConnectionPool& pool, const std::string& destination,
    const ExchangeRequest& request, std::size_t maxBodyBytes);

} // namespace jackdawwall
