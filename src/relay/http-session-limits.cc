// What a connection holds in memory, when it gives way to others, and its time limits.
#include "relay/http-session.h"

#include <boost/asio/post.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>

namespace jackdawwall::relay {
namespace {

/// How long the caller may take to close after the last response.
constexpr absl::Duration kLingerTimeout = absl::Seconds(2);
/// Limit on the time without progress of a client that reads a response; on ports whose idle time is shorter,
/// that one holds.
constexpr absl::Duration kWriteTimeout = absl::Seconds(20);
/// Memory of an idle connection.
constexpr std::size_t kSessionBytes = 2U << 10;
/// Memory of a pending request besides its head and body.
constexpr std::size_t kRequestBytes = 4U << 10;

} // namespace

/// Memory that the connection holds, except for bodies and the responses of targets, which have reservations.
std::size_t HttpSession::heldBytes() const
{
    std::size_t bytes = kSessionBytes + buffer_.capacity() + partialHeadBytes_;
    for (const IncomingRequestPtr& incoming : pending_)
        bytes += kRequestBytes + incoming->headBytes;
    for (const auto* queue : { &writing_, &writeQueue_ }) {
        for (const OutgoingBytes& outgoing : *queue)
            bytes += outgoing.reservation.bytes() == 0 ? outgoing.bytes.capacity() : 0;
    }
    return bytes;
}

/// Calls `reserve`, which may evict other connections but not this one.
template <typename Reserve> bool HttpSession::reserve(Reserve reserve)
{
    isGrowing_ = true;
    const bool hasReserved = reserve();
    isGrowing_ = false;
    return hasReserved;
}

bool HttpSession::reserveHeld()
{
    const std::size_t bytes = heldBytes();
    reservation_.shrinkTo(bytes);
    return bytes <= reservation_.bytes() || reserve([&] { return reservation_.growTo(bytes); });
}

bool HttpSession::reserveBody(std::size_t bytes)
{
    if (listener_.budget_ == nullptr)
        return true;
    if (!hasBodyReservation_)
        bodyReservation_ = ByteReservation(*listener_.budget_);
    hasBodyReservation_ = true;
    return bytes <= bodyReservation_.bytes() || reserve([&] { return bodyReservation_.growTo(bytes); });
}

ConnectionLoad HttpSession::load() const
{
    ConnectionLoad load;
    load.heldBytes = heldBytes() + bodyReservation_.bytes();
    for (const auto* queue : { &writing_, &writeQueue_ }) {
        for (const OutgoingBytes& outgoing : *queue)
            load.heldBytes += outgoing.reservation.bytes();
    }
    load.hasCompleteRequest = !pending_.empty();
    load.hasPartialRequest = hasPartialRequest_;
    load.isWriting = isWriting_;
    load.isNew = !hasReceivedRequest_ || isSendClosed_;
    load.waitingSince = waitStartedAt_;
    return load;
}

void HttpSession::reportClosed(CloseReason reason) const
{
    if (listener_.onClosed)
        listener_.onClosed({ reason, load().heldBytes, remoteAddress_ });
}

/// Releases what a closed connection holds. Its reservations must not outlive the listener, as the handlers
/// of pending operations may do.
void HttpSession::release()
{
    parser_.reset();
    partialHeadBytes_ = 0;
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
    writing_.clear(); // The cancelled write does not use them any more.
    writeQueue_.clear();
    bodyReservation_ = {};
    reservation_ = {};
    for (const IncomingRequestPtr& incoming : pending_) {
        incoming->response.reset();
        incoming->responseReservation = {};
    }
}

void HttpSession::evict(CloseReason reason)
{
    if (isClosed_)
        return;
    reportClosed(reason);
    const auto self = shared_from_this();
    isClosed_ = true;
    beast::error_code error;
    socket_.close(error);
    release();
    listener_.sessions_.erase(self);
    asio::post(listener_.loop_, [self] { self->abandonRequests(); });
}

/// True if the client has taken bytes since the last check, from what the kernel still holds for it.
bool HttpSession::hasClientRead()
{
    int unacknowledged = 0;
    if (ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) != 0)
        return false;
    return std::exchange(unacknowledgedBytes_, unacknowledged) != unacknowledged;
}

void HttpSession::checkTimeouts(absl::Time now)
{
    const absl::Duration waited = now - waitStartedAt_;
    const ListenerLimits& limits = listener_.limits_;
    if (isSendClosed_) {
        if (waited > kLingerTimeout)
            close();
        return;
    }
    if (isWriting_) {
        if (hasClientRead()) {
            waitStartedAt_ = now;
        } else if (waited > std::min(kWriteTimeout, limits.idleTimeout)) {
            reportClosed(CloseReason::Unread);
            close();
        }
        return;
    }
    if (!pending_.empty())
        return;
    if (hasPartialRequest_ && !parser_ && waited > limits.headerTimeout)
        refuse(http::status::request_timeout, "the head of the request took too long");
    else if (waited > limits.idleTimeout && hasClientRead())
        waitStartedAt_ = now; // It still reads the last response.
    else if (waited > limits.idleTimeout)
        finish();
}

} // namespace jackdawwall::relay
