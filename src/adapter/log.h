/// Structured log: one line of key=value pairs per event, written through a bounded queue. When the queue is
/// full, events are dropped and counted.
#pragma once

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <cstdint>
#include <initializer_list>
#include <string>

namespace jackdawwall {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// A key=value pair of an event. Empty values and values with whitespace, quotes or '=' are quoted.
struct LogField {
    template <typename Value>
    LogField(absl::string_view fieldKey, const Value& fieldValue)
        : key(fieldKey)
        , value(absl::StrCat(fieldValue))
    {
    }

    absl::string_view key;
    std::string value;
};

/// Log configuration of this process.
struct LogOptions {
    std::string process; ///< Name of this process in each line.
    std::string path; ///< Log file; empty for standard output.
    LogLevel level = LogLevel::Info;
};

/// Starts logging. Call it once, before any thread logs.
void startLog(const LogOptions& options);

/// Logs an event. Example:
/// logEvent(LogLevel::Info, "call-refused", { { "request", id }, { "reason", "overload" } });
void logEvent(LogLevel level, absl::string_view event, std::initializer_list<LogField> fields);

/// Returns the most recent events of this process, at most 4096, oldest first, one per line.
std::string recentLogEvents();

/// Number of events dropped because the queue was full.
std::uint64_t droppedLogEvents();

/// Writes all queued events and stops logging.
void stopLog();

} // namespace jackdawwall
