/// Runs the program under test as a child process.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

namespace jackdawwall::soak {

struct ProcessExit {
    int code = 0; ///< Exit code, or the number of the signal that terminated it.
    bool isSignalled = false;
};

class Process {
public:
    /// `settings` is the path of the settings file; standard output and error are appended to the file `log`.
    Process(std::string program, std::string settings, std::string log);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Throws std::runtime_error when the process can't be started.
    void start();
    bool isRunning() const { return pid_ > 0; }
    void signal(int number) const;
    /// Returns how the process ended, once; empty while it is running.
    std::optional<ProcessExit> takeExit();

private:
    const std::string program_;
    const std::string settings_;
    const std::string log_;
    pid_t pid_ = 0;
};

} // namespace jackdawwall::soak
