/// One connection of a caller.
#pragma once

#include "relay/http-listener.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <optional>

namespace jackdawwall::relay {

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

private:
    struct OutgoingBytes {
        std::string bytes;
        ByteReservation reservation;
    };

    void read();
    void onRead(beast::error_code error, std::size_t bytes);
    void parseRequests();
    bool parseRequest();
    void skipEmptyLines();
    absl::string_view unparsedBytes() const;
    void refuse(http::status status, absl::string_view text);
    void dispatch();
    bool hasDispatchedRequest() const;
    void write();
    void enqueue(std::string bytes, ByteReservation reservation = {});
    bool reserveBody();
    void onWritten(beast::error_code error);
    void sendContinue();

    HttpListener& listener_;
    Tcp::socket socket_;
    asio::ip::address remoteAddress_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::deque<IncomingRequestPtr> pending_;
    std::vector<OutgoingBytes> writing_;
    std::vector<OutgoingBytes> writeQueue_;
    ByteReservation bodyReservation_; ///< For the body being read.
    bool hasBodyReservation_ = false;
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
