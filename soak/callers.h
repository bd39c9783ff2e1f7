/// Callers of the nodes: send requests over pooled connections, sometimes disconnect before the response, and
/// probe which configuration version each node applies.
#pragma once

#include "fleet.h"

#include <list>
#include <memory>

namespace jackdawwall::soak {

class Callers {
public:
    Callers(relay::asio::io_context& loop, Record& record, Fleet& fleet, std::uint64_t seed);

    void start();
    void stop() { isStopped_ = true; }

private:
    void sendLoop();
    void readinessLoop();
    void probeLoop();
    void sendRandomCall();
    void disconnectLater(
        const std::string& id, const std::shared_ptr<relay::UpstreamConnection>& connection, int node);
    void onExchangeEnd(const std::string& id, int node, const relay::ExchangeResult& result);
    void probe(Member& member);
    std::shared_ptr<relay::UpstreamConnection> sendRequest(const std::string& address, relay::Request request,
        absl::Duration timeout, const std::function<void(relay::ExchangeResult)>& done);
    Target* targetExecuting(const std::string& id);

    relay::asio::io_context& loop_;
    Record& record_;
    Fleet& fleet_;
    std::mt19937_64 random_;
    relay::UpstreamPool pool_;
    relay::asio::steady_timer sendTimer_;
    relay::asio::steady_timer readinessTimer_;
    relay::asio::steady_timer probeTimer_;
    std::uint64_t requestCount_ = 0;
    bool isStopped_ = false;
};

} // namespace jackdawwall::soak
