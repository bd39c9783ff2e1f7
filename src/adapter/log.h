/// One line of key=value pairs for each event, through a bounded queue that drops and counts.
#pragma once

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <cstdint>
#include <initializer_list>
#include <string>

namespace jackdawwall {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// One pair of an event; values with spaces or quotes are quoted.
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

/// Where the events of this process go. `path` empty means standard output.
struct LogOptions {
    std::string process; ///< Name of this process in each line.
    std::string path;
    LogLevel level = LogLevel::Info;
};

/// Starts logging; call it once, before any thread logs.
void startLog(const LogOptions& options);

/// Example: logEvent(LogLevel::Info, "call-refused", { { "request", id }, { "reason", "overload" } });
void logEvent(LogLevel level, absl::string_view event, std::initializer_list<LogField> fields);

/// The last events of this process, oldest first, one line each; at most 4096.
std::string recentLogEvents();

/// Events dropped because the queue was full.
std::uint64_t droppedLogEvents();

/// Writes out what is queued and ends logging.
void stopLog();

} // namespace jackdawwall
