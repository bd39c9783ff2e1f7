/// What the programs' main functions share: exit codes, signals, and one place for exceptions.
#pragma once

#include <csignal>
#include <functional>

namespace jackdawwall {

inline constexpr const char* kProgramVersion = "0.1.0";

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1; ///< It did not work; trying again may help.
inline constexpr int kExitInvalid = 2; ///< The input is wrong.
inline constexpr int kExitConflict = 3; ///< Somebody else changed the same entries.

/// Blocks SIGTERM and SIGINT in this thread and those it starts, and ignores SIGPIPE.
sigset_t blockStopSignals();

/// Waits for one of the blocked signals.
void awaitStopSignal(const sigset_t& signals);

/// Runs a program; reports exceptions on standard error and turns them into exit codes.
int runMain(const std::function<int()>& program);

} // namespace jackdawwall
