/// Blocking HTTP/1.1 over loopback sockets for the stand-ins of the review, and the record of a run.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds of the steady clock since the start of the program.
std::int64_t nowMs();
void sleepMs(std::int64_t duration);
/// Unix time in milliseconds.
std::int64_t unixMs();

/// Appends a line with the time to record.txt in the folder of the case. Thread-safe.
void record(const std::string& line);
void openRecord(const std::string& file);

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Value of a header, empty if there is none. Names are compared without case.
    std::string header(const std::string& name) const;
    std::string method() const; ///< Of a request.
    std::string target() const; ///< Of a request.
    int status() const; ///< Of a response.
};

struct Endpoint {
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// How a connection is opened.
struct ConnectOptions {
    std::string sourceIp; ///< Empty: chosen by the system.
    int receiveBuffer = 0; ///< SO_RCVBUF; 0: the default.
    int maxSegment = 0; ///< TCP_MAXSEG; 0: the default.
    int timeoutMs = 1000;
};

/// A TCP connection with a read buffer. Owns its descriptor.
class Connection {
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Null if the connection can't be established.
    static std::unique_ptr<Connection> open(const Endpoint& to, const ConnectOptions& options = {});

    bool write(const std::string& bytes);
    /// Reads one complete message; empty at the end of the stream, on an error or at the timeout.
    std::optional<Message> readMessage(int timeoutMs);
    /// Reads what has arrived, `limit` bytes at most. Returns the number of bytes, 0 at the end of the
    /// stream, -1 on an error and -2 at the timeout. Bytes are appended to `buffer`.
    long readSome(std::string& buffer, std::size_t limit, int timeoutMs);
    /// Waits and returns false as soon as the peer has closed the connection.
    bool waitWhileOpen(std::int64_t durationMs);
    /// Shuts down both directions; a blocked read in another thread ends.
    void shutdownBoth();
    int descriptor() const { return descriptor_; }

private:
    bool fill(std::int64_t deadline);

    int descriptor_;
    std::string buffer_;
};

/// Accepts connections and serves each in a thread of its own.
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    Server(Endpoint address, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    const Endpoint& address() const { return address_; }
    /// Stops listening and closes all connections, like a process that ends.
    void stop();

private:
    void acceptLoop();

    Endpoint address_;
    Handler handler_;
    int listener_ = -1;
    std::atomic<bool> isStopping_ { false };
    std::mutex mutex_;
    std::set<Connection*> open_;
    std::vector<std::thread> threads_;
    std::thread acceptThread_;
};

std::string requestBytes(const std::string& method, const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body);
std::string responseBytes(
    int status, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body);

/// Sends one request on a new connection and returns the response; empty if there was none.
std::optional<Message> exchange(
    const Endpoint& to, const std::string& bytes, int timeoutMs, const ConnectOptions& options = {});

} // namespace review
