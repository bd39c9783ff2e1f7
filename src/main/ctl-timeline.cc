// Merges the events of several processes into a timeline.
#include "main/timeline.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include <algorithm>
#include <map>

namespace jackdawwall {
namespace {

std::string fieldValue(const std::string& line, const std::string& key)
{
    const std::string prefix = absl::StrCat(" ", key, "=");
    const std::string padded = absl::StrCat(" ", line);
    const std::size_t start = padded.find(prefix);
    if (start == std::string::npos)
        return "";
    const std::size_t value = start + prefix.size();
    return padded.substr(value, padded.find(' ', value) - value);
}

std::string escapeHtml(const std::string& text)
{
    return absl::StrReplaceAll(
        text, { { "&", "&amp;" }, { "<", "&lt;" }, { ">", "&gt;" }, { "\"", "&quot;" } });
}

std::map<std::string, int> assignLanes(const std::vector<TimelineEvent>& events)
{
    std::map<std::string, int> lanes;
    for (const TimelineEvent& event : events)
        lanes.emplace(event.process, 0);
    int next = 0;
    for (auto& [process, lane] : lanes)
        lane = next++;
    return lanes;
}

} // namespace

TimelineEvent parseEvent(const std::string& line)
{
    TimelineEvent event;
    event.line = line;
    event.process = fieldValue(line, "process");
    std::string error;
    if (!absl::ParseTime(absl::RFC3339_full, fieldValue(line, "time"), &event.time, &error))
        event.time = absl::InfinitePast();
    if (!absl::SimpleAtoi(fieldValue(line, "seq"), &event.sequence))
        event.sequence = 0;
    return event;
}

void orderEvents(std::vector<TimelineEvent>& events)
{
    std::sort(events.begin(), events.end(), [](const TimelineEvent& left, const TimelineEvent& right) {
        return std::tie(left.process, left.sequence) < std::tie(right.process, right.sequence);
    });
    // A clock that steps back must not reorder the events of its process.
    for (std::size_t index = 1; index < events.size(); ++index) {
        if (events[index].process == events[index - 1].process)
            events[index].time = std::max(events[index].time, events[index - 1].time);
    }
    std::stable_sort(events.begin(), events.end(),
        [](const TimelineEvent& left, const TimelineEvent& right) { return left.time < right.time; });
}

std::string timelinePage(const std::vector<TimelineEvent>& events)
{
    constexpr int kLaneWidth = 160;
    constexpr int kRowHeight = 18;
    const std::map<std::string, int> lanes = assignLanes(events);
    std::string page = "<!doctype html><meta charset=\"utf-8\"><title>Timeline</title><style>"
                       "body{font:12px monospace}div{position:absolute;white-space:nowrap}"
                       "div.e:hover{background:#ffd;z-index:1}</style>\n";
    for (const auto& [process, lane] : lanes)
        absl::StrAppend(&page, "<div style=\"left:", lane * kLaneWidth, "px;top:0\"><b>", escapeHtml(process),
            "</b></div>\n");
    int row = 1;
    for (const TimelineEvent& event : events) {
        const int left = lanes.at(event.process) * kLaneWidth;
        absl::StrAppend(&page, "<div class=\"e\" title=\"", escapeHtml(event.line), "\" style=\"left:", left,
            "px;top:", row++ * kRowHeight, "px\">",
            absl::FormatTime("%H:%M:%E3S", event.time, absl::UTCTimeZone()), " ",
            escapeHtml(fieldValue(event.line, "event")), "</div>\n");
    }
    return page;
}

} // namespace jackdawwall
