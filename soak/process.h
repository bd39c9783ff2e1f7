/// A real program under test as a process of its own: started, signalled and ended by its id.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

namespace jackdawwall::soak {

struct ProcessExit {
    int code = 0; ///< Exit code, or the signal that ended it.
    bool isSignalled = false;
};

class Process {
public:
    /// `settings` is the file that the program reads; its output is appended to `log`.
    Process(std::string program, std::string settings, std::string log);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Throws std::runtime_error when the process can't be started.
    void start();
    bool isRunning() const { return pid_ > 0; }
    void signal(int number) const;
    /// Set once after the process ended.
    std::optional<ProcessExit> takeExit();

private:
    const std::string program_;
    const std::string settings_;
    const std::string log_;
    pid_t pid_ = 0;
};

} // namespace jackdawwall::soak
