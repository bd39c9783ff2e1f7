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
    /// Writes the answers that are next in order.
    void flush();
    /// Ends the connection when its time is up; called by the listener's sweep.
    void checkTimeouts(absl::Time now);
    /// True when nothing was under way on it for this long.
    bool isIdleFor(absl::Duration time) const;
    std::size_t pendingRequests() const { return pending_.size(); }
    /// Breaks the connection off and abandons what waits.
    void close();
    /// Ends the sending side; the caller's remaining bytes are read so that no reset destroys the answer.
    void finish();

private:
    void read();
    void onRead(beast::error_code error, std::size_t bytes);
    void parseRequests();
    bool parseRequest();
    void refuse(http::status status, absl::string_view text);
    void dispatch();
    void write();
    void enqueue(std::string bytes);
    bool reserveBody();
    void onWritten(beast::error_code error);
    void sendContinue();

    HttpListener& listener_;
    Tcp::socket socket_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::deque<IncomingRequestPtr> pending_;
    std::vector<std::string> writing_;
    std::vector<std::string> writeQueue_;
    ByteReservation bodyReservation_; ///< For the body that is being read.
    bool hasBodyReservation_ = false;
    bool isWriting_ = false;
    bool isReading_ = false;
    bool isEnding_ = false; ///< No further request is taken.
    bool isSendClosed_ = false; ///< The sending side is closed.
    bool isClosed_ = false;
    bool hasPartialRequest_ = false; ///< Part of a request was read.
    absl::Time waitStartedAt_; ///< Of the current wait: for a request, its rest, or the caller's close.
};

} // namespace jackdawwall::relay
