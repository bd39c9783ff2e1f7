/// One connection of a caller.
#pragma once

#include "relay/head-scanner.h"
#include "relay/http-listener.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <optional>

namespace jackdawwall::relay {

/// Memory of a parsed header besides its bytes.
inline constexpr std::size_t kFieldBytes = 96;

class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    HttpSession(HttpListener& listener, Tcp::socket socket);

    void start();
    /// Writes the completed responses that are next in request order.
    void flush();
    /// Enforces the connection's timeouts; called periodically by the listener.
    void checkTimeouts(absl::Time now);
    /// True if the connection had no activity for this long.
    bool isIdleFor(absl::Duration time) const;
    /// Requests without a response, and one more while responses are being written.
    std::size_t pendingRequests() const { return pending_.size() + (isWriting_ ? 1 : 0); }
    /// Aborts the connection and its pending requests.
    void close();
    /// Shuts down the sending side. The caller's remaining bytes are still read: unread bytes would cause a
    /// reset, which may discard the response.
    void finish();
    /// What the connection holds, for the choice of the one to evict.
    ConnectionLoad load() const;
    /// Releases what the connection holds at once and closes it. Its requests are abandoned from the event
    /// loop.
    void evict(CloseReason reason);
    bool isGrowing() const { return isGrowing_; }

private:
    struct OutgoingBytes {
        std::string bytes;
        ByteReservation reservation;
    };

    void awaitInput();
    void onReadable(beast::error_code error);
    /// Returns false if nothing more can be read now.
    bool readOnce();
    std::size_t maxBufferedBytes() const;
    void parseRequests();
    bool parseRequest();
    bool parseHead();
    bool parseBody();
    bool reserveParsedBody();
    void acceptRequest();
    std::size_t heldBytes() const;
    bool reserveHeld();
    void releaseBuffer();
    void release();
    void continueParsing();
    template <typename Reserve> bool reserve(Reserve reserve);
    void reportClosed(CloseReason reason) const;
    void skipEmptyLines();
    absl::string_view unparsedBytes() const;
    void refuse(http::status status, absl::string_view text);
    void dispatch();
    bool hasDispatchedRequest() const;
    void write();
    void enqueue(std::string bytes, ByteReservation reservation = {});
    bool reserveBody(std::size_t bytes);
    std::size_t unwrittenParts() const { return writing_.size() + writeQueue_.size(); }
    bool hasClientRead();
    void abandonRequests();
    void onWritten(beast::error_code error);
    void sendContinue();

    HttpListener& listener_;
    Tcp::socket socket_;
    asio::ip::address remoteAddress_;
    beast::flat_buffer buffer_;
    std::optional<RequestParser> parser_;
    std::deque<IncomingRequestPtr> pending_;
    std::vector<OutgoingBytes> writing_;
    std::vector<OutgoingBytes> writeQueue_;
    HeadScanner headScanner_;
    ByteReservation reservation_; ///< For all but bodies and responses of targets, see heldBytes.
    ByteReservation bodyReservation_; ///< For the body being read.
    bool hasBodyReservation_ = false;
    std::size_t partialHeadBytes_ = 0; ///< Estimated memory of the parsed head whose body is incomplete.
    int unacknowledgedBytes_ = 0; ///< In the kernel, when last checked.
    bool hasReceivedRequest_ = false;
    bool isGrowing_ = false; ///< This connection needs the room that is being made.
    bool isWriting_ = false;
    bool isReading_ = false;
    bool isEnding_ = false; ///< No further requests are accepted.
    bool isSendClosed_ = false; ///< The sending side is closed.
    bool isClosed_ = false;
    bool hasPartialRequest_ = false; ///< Part of a request was read.
    /// Start of the current wait: for a request, the rest of one, or the caller's close.
    absl::Time waitStartedAt_;
};

} // namespace jackdawwall::relay
