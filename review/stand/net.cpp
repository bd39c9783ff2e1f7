#include "net.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

std::FILE* recordFile = nullptr;
std::mutex recordMutex;

sockaddr_in socketAddress(const Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    if (inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("not an address: " + endpoint.ip);
    return address;
}

void setOption(int descriptor, int level, int option, int value)
{
    setsockopt(descriptor, level, option, &value, sizeof value);
}

std::string trimmed(const std::string& text)
{
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string::npos)
        return "";
    return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

} // namespace

std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start)
        .count();
}

void sleepMs(std::int64_t duration)
{
    if (duration > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void openRecord(const std::string& file)
{
    recordFile = std::fopen(file.c_str(), "w");
    if (recordFile == nullptr)
        throw std::runtime_error("can't write " + file);
    std::signal(SIGPIPE, SIG_IGN);
    nowMs();
}

void record(const std::string& line)
{
    const std::lock_guard lock(recordMutex);
    if (recordFile == nullptr)
        return;
    const std::int64_t now = nowMs();
    std::fprintf(recordFile, "%3d.%03d %s\n", static_cast<int>(now / 1000), static_cast<int>(now % 1000),
        line.c_str());
    std::fflush(recordFile);
}

std::string Message::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return "";
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const auto begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

int Message::status() const
{
    return startLine.size() > 9 ? std::atoi(startLine.c_str() + 9) : 0;
}

Connection::~Connection()
{
    close(descriptor_);
}

std::unique_ptr<Connection> Connection::open(const Endpoint& to, const ConnectOptions& options)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0)
        return nullptr;
    auto connection = std::make_unique<Connection>(descriptor);
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    if (options.receiveBuffer > 0)
        setOption(descriptor, SOL_SOCKET, SO_RCVBUF, options.receiveBuffer);
    if (options.maxSegment > 0)
        setOption(descriptor, IPPROTO_TCP, TCP_MAXSEG, options.maxSegment);
    if (!options.sourceIp.empty()) {
        const sockaddr_in source = socketAddress({ options.sourceIp, 0 });
        if (bind(descriptor, reinterpret_cast<const sockaddr*>(&source), sizeof source) != 0)
            return nullptr;
    }
    const sockaddr_in address = socketAddress(to);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        if (errno != EINPROGRESS)
            return nullptr;
        pollfd waiting { descriptor, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        if (poll(&waiting, 1, options.timeoutMs) != 1
            || getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return nullptr;
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return connection;
}

bool Connection::write(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::fill(std::int64_t deadline)
{
    return readSome(buffer_, 64U << 10, static_cast<int>(std::max<std::int64_t>(0, deadline - nowMs()))) > 0;
}

long Connection::readSome(std::string& buffer, std::size_t limit, int timeoutMs)
{
    pollfd waiting { descriptor_, POLLIN, 0 };
    const int count = poll(&waiting, 1, timeoutMs);
    if (count == 0)
        return -2;
    const std::size_t before = buffer.size();
    buffer.resize(before + limit);
    const ssize_t received = count < 0 ? -1 : recv(descriptor_, buffer.data() + before, limit, 0);
    buffer.resize(before + static_cast<std::size_t>(std::max<ssize_t>(0, received)));
    return received;
}

std::optional<Message> Connection::readMessage(int timeoutMs)
{
    const std::int64_t deadline = nowMs() + timeoutMs;
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline))
            return std::nullopt;
    }
    Message message;
    std::size_t position = 0;
    bool isFirst = true;
    while (position < end + 2) {
        const std::size_t lineEnd = buffer_.find("\r\n", position);
        const std::string line = buffer_.substr(position, lineEnd - position);
        position = lineEnd + 2;
        if (isFirst)
            message.startLine = line;
        else if (const auto colon = line.find(':'); colon != std::string::npos)
            message.headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
        isFirst = false;
    }
    buffer_.erase(0, end + 4);
    const std::size_t length = static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
    while (buffer_.size() < length) {
        if (!fill(deadline))
            return std::nullopt;
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
}

bool Connection::waitWhileOpen(std::int64_t durationMs)
{
    const std::int64_t deadline = nowMs() + durationMs;
    for (std::int64_t now = nowMs(); now < deadline; now = nowMs()) {
        pollfd waiting { descriptor_, POLLRDHUP, 0 };
        if (poll(&waiting, 1, static_cast<int>(deadline - now)) > 0)
            return false;
    }
    return true;
}

void Connection::shutdownBoth()
{
    shutdown(descriptor_, SHUT_RDWR);
}

Server::Server(Endpoint address, Handler handler)
    : address_(std::move(address))
    , handler_(std::move(handler))
    , listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    setOption(listener_, SOL_SOCKET, SO_REUSEADDR, 1);
    const sockaddr_in socketName = socketAddress(address_);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&socketName), sizeof socketName) != 0
        || listen(listener_, 1024) != 0)
        throw std::runtime_error("can't listen on " + address_.text());
    acceptThread_ = std::thread([this] { acceptLoop(); });
}

Server::~Server()
{
    stop();
}

void Server::stop()
{
    if (isStopping_.exchange(true))
        return;
    shutdown(listener_, SHUT_RDWR);
    acceptThread_.join();
    close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (Connection* connection : open_)
            connection->shutdownBoth();
    }
    for (std::thread& thread : threads_)
        thread.join();
}

void Server::acceptLoop()
{
    while (!isStopping_) {
        const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (!isStopping_)
                sleepMs(1);
            continue;
        }
        setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
        const std::lock_guard lock(mutex_);
        threads_.emplace_back([this, descriptor] {
            Connection connection(descriptor);
            {
                const std::lock_guard insertLock(mutex_);
                if (isStopping_)
                    return;
                open_.insert(&connection);
            }
            handler_(connection);
            const std::lock_guard eraseLock(mutex_);
            open_.erase(&connection);
        });
    }
}

std::string requestBytes(const std::string& method, const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body)
{
    std::string bytes = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        bytes += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return bytes + "\r\n" + body;
}

std::string responseBytes(
    int status, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers)
        bytes += name + ": " + value + "\r\n";
    return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<Message> exchange(
    const Endpoint& to, const std::string& bytes, int timeoutMs, const ConnectOptions& options)
{
    const auto connection = Connection::open(to, options);
    if (!connection || !connection->write(bytes))
        return std::nullopt;
    return connection->readMessage(timeoutMs);
}

} // namespace review
