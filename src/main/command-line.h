/// Exit codes, signal handling and exception handling shared by the programs.
#pragma once

#include <csignal>
#include <functional>

namespace jackdawwall {

inline constexpr const char* kProgramVersion = "0.1.0";

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1; ///< The operation failed; a retry may succeed.
inline constexpr int kExitInvalid = 2; ///< The input is invalid.
inline constexpr int kExitConflict = 3; ///< Another operator changed the same entries.

/// Blocks SIGTERM and SIGINT in this thread and in the threads that it starts, and ignores SIGPIPE.
sigset_t blockStopSignals();

/// Waits for one of the blocked signals.
void awaitStopSignal(const sigset_t& signals);

/// Runs a program; prints exceptions to standard error and converts them to exit codes.
int runMain(const std::function<int()>& program);

} // namespace jackdawwall
