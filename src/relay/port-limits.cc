#include "relay/port-limits.h"

#include "relay/http-session.h"

#include <algorithm>

namespace jackdawwall::relay {
namespace {

/// Evicts the connection that gives way first among those of some ports; false if there is none. Ranks over
/// `highest` are passed over.
bool evictFrom(const std::vector<const HttpListener*>& listeners, EvictionRank highest)
{
    const absl::Time now = steadyNow();
    EvictionCandidate best;
    std::shared_ptr<HttpSession> chosen;
    for (const HttpListener* listener : listeners) {
        if (auto session = listener->evictionCandidate(best, highest, now))
            chosen = std::move(session);
    }
    // A connection that gives way first itself does not displace others.
    if (chosen == nullptr || chosen->isGrowing())
        return false;
    chosen->evict(CloseReason::Memory);
    return true;
}

} // namespace

PortLimits::PortLimits(RelayState& state)
    : state_(state)
{
    state_.held.makeRoom = [this] { return evictFrom(all_, EvictionRank::Incomplete); };
    state_.heldForCallers.makeRoom = [this] { return evictFrom(callers_, EvictionRank::Incomplete); };
    // Only what callers do not read holds responses.
    state_.bufferedResponses.makeRoom = [this] { return evictFrom(callers_, EvictionRank::Unread); };
    state_.pool.mayOpen = [this](std::size_t open) {
        return open + connectionCount() < state_.settings.descriptors + kOutgoingReserve;
    };
}

PortLimits::~PortLimits()
{
    state_.held.makeRoom = nullptr;
    state_.heldForCallers.makeRoom = nullptr;
    state_.bufferedResponses.makeRoom = nullptr;
    state_.pool.mayOpen = nullptr;
}

void PortLimits::add(HttpListener& listener, const char* name, double share, std::size_t minimum)
{
    ports_.push_back({ &listener, name, share, minimum });
    all_.push_back(&listener);
    listener.onRejected = [this, name](const RejectedRequest& rejected) { recordRejected(name, rejected); };
    listener.onClosed = [this, name](const ClosedConnection& closed) { recordClosed(name, closed); };
}

void PortLimits::update()
{
    for (const Port& port : ports_) {
        const auto share
            = static_cast<std::size_t>(static_cast<double>(state_.settings.descriptors) * port.share);
        port.listener->setMaxSessions(std::max(port.minimum, share));
    }
}

std::size_t PortLimits::connectionCount() const
{
    std::size_t count = 0;
    for (const HttpListener* listener : all_)
        count += listener->sessionCount();
    return count;
}

void PortLimits::recordRejected(const char* port, const RejectedRequest& rejected)
{
    state_.metrics.countRejectedRequest(port, rejected.status, rejected.error);
    state_.requestLog.record("request-rejected", "", false,
        { { "port", port }, { "status", rejected.status }, { "error", rejected.error },
            { "remote", rejected.remoteAddress.to_string() }, { "start", rejected.start },
            { "config", state_.configuration.version } });
}

void PortLimits::recordClosed(const char* port, const ClosedConnection& closed)
{
    state_.metrics.countClosedConnection(port, toText(closed.reason));
    state_.requestLog.record("connection-closed", "", false,
        { { "port", port }, { "reason", toText(closed.reason) },
            { "remote", closed.remoteAddress.to_string() }, { "held_bytes", closed.heldBytes },
            { "all_held_bytes", state_.held.reserved() }, { "connections", connectionCount() } });
}

} // namespace jackdawwall::relay
