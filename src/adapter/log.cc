#include "adapter/log.h"

#include "absl/strings/escaping.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <deque>
#include <memory>

namespace jackdawwall {
namespace {

constexpr std::size_t kQueueCapacity = 8192;
constexpr std::size_t kMaxRecentEvents = 4096;
constexpr auto kFlushInterval = std::chrono::seconds(1);

std::string& processName()
{
    static std::string name;
    return name;
}

std::atomic<std::uint64_t>& eventSequence()
{
    static std::atomic<std::uint64_t> sequence { 0 };
    return sequence;
}

struct RecentEvents {
    absl::Mutex mutex;
    std::deque<std::string> lines;
};

RecentEvents& recentEvents()
{
    static RecentEvents recent;
    return recent;
}

void storeRecentEvent(std::string line)
{
    RecentEvents& recent = recentEvents();
    const absl::MutexLock lock(&recent.mutex);
    recent.lines.push_back(std::move(line));
    if (recent.lines.size() > kMaxRecentEvents)
        recent.lines.pop_front();
}

spdlog::level::level_enum toSpdlog(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

bool needsQuotes(absl::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != absl::string_view::npos;
}

std::string quoteIfNeeded(const std::string& value)
{
    if (!needsQuotes(value))
        return value;
    return absl::StrCat("\"", absl::CHexEscape(value), "\"");
}

} // namespace

void startLog(const LogOptions& options)
{
    processName() = options.process;
    spdlog::init_thread_pool(kQueueCapacity, 1);
    if (options.path.empty())
        spdlog::set_default_logger(spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("jackdawwall"));
    else
        spdlog::set_default_logger(
            spdlog::create_async_nb<spdlog::sinks::basic_file_sink_mt>("jackdawwall", options.path));
    spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%fZ level=%l %v", spdlog::pattern_time_type::utc);
    spdlog::set_level(toSpdlog(options.level));
    spdlog::flush_every(kFlushInterval);
    spdlog::flush_on(spdlog::level::warn);
}

void logEvent(LogLevel level, absl::string_view event, std::initializer_list<LogField> fields)
{
    spdlog::logger* logger = spdlog::default_logger_raw();
    if (logger == nullptr || !logger->should_log(toSpdlog(level)))
        return;
    std::string line = absl::StrCat("process=", processName(), " seq=", ++eventSequence(), " event=", event);
    for (const LogField& field : fields)
        absl::StrAppend(&line, " ", field.key, "=", quoteIfNeeded(field.value));
    storeRecentEvent(absl::StrCat(
        "time=", absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::Now(), absl::UTCTimeZone()), " ", line));
    logger->log(toSpdlog(level), "{}", line);
}

std::string recentLogEvents()
{
    RecentEvents& recent = recentEvents();
    const absl::MutexLock lock(&recent.mutex);
    std::string text;
    for (const std::string& line : recent.lines)
        absl::StrAppend(&text, line, "\n");
    return text;
}

std::uint64_t droppedLogEvents()
{
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

void stopLog()
{
    spdlog::shutdown();
}

} // namespace jackdawwall
