#include "process.h"

#include "absl/strings/str_cat.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace jackdawwall::soak {

Process::Process(std::string program, std::string settings, std::string log)
    : program_(std::move(program))
    , settings_(std::move(settings))
    , log_(std::move(log))
{
}

Process::~Process()
{
    if (pid_ <= 0)
        return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

void Process::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The child must not inherit the driver's sockets: they would stay open there after a caller closes its
    // connection, and the node would not notice the disconnect.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program = program_;
    std::string settings = settings_;
    const std::array<char*, 3> arguments { program.data(), settings.data(), nullptr };
    const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error(absl::StrCat("can't start ", program_));
}

void Process::signal(int number) const
{
    if (pid_ > 0)
        kill(pid_, number);
}

std::optional<ProcessExit> Process::takeExit()
{
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_)
        return std::nullopt;
    pid_ = 0;
    if (WIFSIGNALED(status))
        return ProcessExit { WTERMSIG(status), true };
    return ProcessExit { WEXITSTATUS(status), false };
}

} // namespace jackdawwall::soak
