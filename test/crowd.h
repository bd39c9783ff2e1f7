/// Crowds of clients that respect no limit: the parts of a message that they use, and their connections.
#pragma once

#include "relay-fixture.h"

#include <algorithm>
#include <array>
#include <set>

namespace jackdawwall::relay::test {

/// More connections than the node may have descriptors.
inline constexpr std::size_t kCrowdSize = 450;
/// The crowd ends after this time, when it has sent kCrowdBytes, or when none of it makes progress.
inline constexpr auto kCrowdTime = std::chrono::milliseconds(1000);
inline constexpr std::size_t kCrowdBytes = 256U << 20;
inline constexpr auto kStallTime = std::chrono::milliseconds(300);
inline constexpr std::uint64_t kMaxBodyBytes = 8U << 20; ///< Limit of the node's configuration.
inline constexpr std::size_t kMaxHeadBytes = 16384; ///< Limit of the node's configuration.
inline constexpr std::size_t kLargeResponseBytes = 1U << 20;

enum class Port : std::uint8_t { Caller, Peer, Heartbeat, Ready, Operator };
inline constexpr std::array kPortNames { "caller", "peer", "heartbeat", "readiness", "operator" };

/// What each client of a crowd does on its connection.
struct CrowdPart {
    const char* name;
    std::string start; ///< Sent first, once.
    std::string repeatedText; ///< Sent without end afterwards; empty: nothing.
    bool closesAtOnce = false; ///< Closes the connection after the start and opens another one.
};

inline std::ostream& operator<<(std::ostream& out, const CrowdPart& part)
{
    return out << part.name;
}

inline std::string repeatedUpTo(const std::string& text, std::size_t size)
{
    std::string result;
    while (!text.empty() && result.size() + text.size() <= size)
        result += text;
    return result;
}

inline const std::string kGet = "GET /read/1 HTTP/1.1\r\nHost: a.example\r\n";
inline const std::string kPost = "POST /read/1 HTTP/1.1\r\nHost: a.example\r\n";
inline const std::string kChunked = kPost + "Transfer-Encoding: chunked\r\n\r\n";
inline const std::string kNearlyFullHead = repeatedUpTo("X: y\r\n", kMaxHeadBytes - 256);

inline const CrowdPart kCrowdParts[] = {
    { "request line", "GET /", "xxxxxxxxxxxxxxxx" },
    { "method", "", "MMMMMMMMMMMMMMMM" },
    { "header line", kGet + "X: ", "xxxxxxxxxxxxxxxx" },
    { "header lines", kGet, "X: y\r\n" },
    { "empty lines before the first request", "", "\r\n" },
    { "empty lines between requests", kGet + "\r\n", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n" + kGet + "\r\n" },
    { "bare line feeds", "GET /read/1 HTTP/1.1\n", "X: y\n" },
    { "only line feeds", "", "\n" },
    { "chunk size", kChunked, "0000000000000000" },
    { "chunk extension", kChunked + "5;a=", "xxxxxxxxxxxxxxxx" },
    { "chunks", kChunked, "10\r\n0123456789abcdef\r\n" },
    { "trailer line", kChunked + "0\r\nX: ", "xxxxxxxxxxxxxxxx" },
    { "trailers", kChunked + "0\r\n", "X: y\r\n" },
    { "body up to the limit, without its last byte",
        kPost + "Content-Length: 1048577\r\n\r\n" + std::string(1U << 20, 'x'), "" },
    { "body over the limit", kPost + "Content-Length: 1000000000000\r\n\r\n", "xxxxxxxxxxxxxxxx" },
    { "pipelined requests, responses not read", "", kGet + "\r\n" },
    { "pipelined requests for large responses, not read", "",
        "GET /read/large HTTP/1.1\r\nHost: a.example\r\n\r\n" },
    { "pipelined requests with full heads, responses not read", "", kGet + kNearlyFullHead + "\r\n" },
    { "head held open just under the limit", kGet + kNearlyFullHead, "" },
    { "body held open behind a full head", kPost + kNearlyFullHead + "Content-Length: 9\r\n\r\n12345678",
        "" },
    { "nothing", "", "" },
    { "connections opened and closed", "", "", true },
    { "requests whose callers disconnect", kGet + "\r\n", "", true },
};

/// Connections that each do what the part says. A connection that the node closes is opened again.
class Crowd {
public:
    Crowd(asio::io_context& loop, const std::string& address, const CrowdPart& part)
        : loop_(loop)
        , endpoint_(parseEndpoint(address))
        , part_(part)
        , piece_(repeatedUpTo(part.repeatedText, std::max<std::size_t>(64U << 10, part.repeatedText.size())))
    {
        for (std::size_t index = 0; index < kCrowdSize; ++index)
            open();
    }

    void close()
    {
        isEnding_ = true;
        const auto connections = connections_;
        for (const auto& connection : connections)
            drop(connection);
    }

    std::size_t sentBytes = 0;
    std::uint64_t events = 0; ///< Connections opened and writes completed.

private:
    using SocketPtr = std::shared_ptr<Tcp::socket>;

    void open()
    {
        const auto socket = std::make_shared<Tcp::socket>(loop_);
        connections_.insert(socket);
        socket->async_connect(endpoint_, [this, socket](beast::error_code error) {
            ++events;
            if (error)
                reopen(socket);
            else
                onConnected(socket);
        });
    }

    void onConnected(const SocketPtr& socket)
    {
        // A close by the node is noticed without reading: responses stay unread.
        socket->async_wait(Tcp::socket::wait_error, [this, socket](beast::error_code) { reopen(socket); });
        if (part_.start.empty())
            onStartWritten(socket);
        else
            asio::async_write(*socket, asio::buffer(part_.start),
                [this, socket](beast::error_code error, std::size_t bytes) {
                    sentBytes += bytes;
                    ++events;
                    if (error)
                        reopen(socket);
                    else
                        onStartWritten(socket);
                });
    }

    void onStartWritten(const SocketPtr& socket)
    {
        if (part_.closesAtOnce)
            reopen(socket);
        else if (!piece_.empty())
            writePiece(socket);
    }

    void writePiece(const SocketPtr& socket)
    {
        if (!socket->is_open())
            return;
        socket->async_write_some(
            asio::buffer(piece_), [this, socket](beast::error_code error, std::size_t bytes) {
                sentBytes += bytes;
                ++events;
                // Only whole pieces keep the lines intact; what the kernel takes of one is continued.
                if (error)
                    reopen(socket);
                else if (bytes == piece_.size())
                    writePiece(socket);
                else
                    writeRest(socket, bytes);
            });
    }

    void writeRest(const SocketPtr& socket, std::size_t offset)
    {
        asio::async_write(*socket, asio::buffer(piece_) + offset,
            [this, socket](beast::error_code error, std::size_t bytes) {
                sentBytes += bytes;
                ++events;
                if (error)
                    reopen(socket);
                else
                    writePiece(socket);
            });
    }

    void drop(const SocketPtr& socket)
    {
        connections_.erase(socket);
        beast::error_code ignored;
        socket->close(ignored);
    }

    void reopen(const SocketPtr& socket)
    {
        if (connections_.count(socket) == 0)
            return;
        drop(socket);
        if (!isEnding_)
            asio::post(loop_, [this] {
                if (!isEnding_)
                    open();
            });
    }

    asio::io_context& loop_;
    const Tcp::endpoint endpoint_;
    const CrowdPart& part_;
    const std::string piece_;
    std::set<SocketPtr> connections_;
    bool isEnding_ = false;
};

} // namespace jackdawwall::relay::test
