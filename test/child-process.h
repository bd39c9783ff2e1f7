/// Child processes of a test, and loopback addresses for them.
#pragma once

#include "relay/http-listener.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <list>
#include <string>
#include <vector>

namespace jackdawwall::relay::test {

/// Addresses that stay free for child processes: their sockets are bound, but never listen.
class ReservedAddresses {
public:
    explicit ReservedAddresses(asio::io_context& loop)
        : loop_(loop)
    {
    }

    std::string add()
    {
        Tcp::acceptor& acceptor = acceptors_.emplace_back(loop_, Tcp::v4());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
        return localAddress(acceptor);
    }

private:
    asio::io_context& loop_;
    std::list<Tcp::acceptor> acceptors_;
};

/// A child process; killed at the end.
class ChildProcess {
public:
    ChildProcess(std::vector<std::string> arguments, const std::string& log)
    {
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(
            &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        std::vector<char*> pointers;
        for (std::string& argument : arguments)
            pointers.push_back(argument.data());
        pointers.push_back(nullptr);
        const int error
            = posix_spawn(&pid_, arguments[0].c_str(), &actions, nullptr, pointers.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        BOOST_REQUIRE_EQUAL(error, 0);
    }
    ~ChildProcess()
    {
        if (!hasExited())
            kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const { kill(pid_, number); }

    bool hasExited() const
    {
        siginfo_t info {};
        waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT);
        return info.si_pid != 0;
    }

    /// Largest resident set so far, in KiB.
    std::size_t peakResidentKilobytes() const
    {
        std::ifstream file(absl::StrCat("/proc/", pid_, "/status"));
        for (std::string line; std::getline(file, line);) {
            if (absl::StartsWith(line, "VmHWM:"))
                return std::stoul(line.substr(6));
        }
        return 0;
    }

    std::size_t openDescriptors() const
    {
        std::error_code error; // Fails after the process has ended, which the test checks separately.
        std::filesystem::directory_iterator entry(absl::StrCat("/proc/", pid_, "/fd"), error);
        return error ? 0 : static_cast<std::size_t>(std::distance(entry, {}));
    }

private:
    pid_t pid_ = 0;
};

} // namespace jackdawwall::relay::test
