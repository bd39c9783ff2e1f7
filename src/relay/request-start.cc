#include "relay/request-start.h"

#include "absl/algorithm/container.h"
#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <iterator>

namespace jackdawwall::relay {
namespace {

constexpr std::size_t kMaxLoggedBytes = 60;

std::string formatStart(absl::string_view method, absl::string_view target)
{
    const absl::string_view path = target.substr(0, target.find_first_of("?#"));
    return absl::CHexEscape(absl::StrCat(method, " ", path).substr(0, kMaxLoggedBytes));
}

} // namespace

std::string loggableStart(const http::request_header<>* head, absl::string_view unparsed)
{
    if (head != nullptr && !head->target().empty())
        return formatStart(fromBeast(head->method_string()), fromBeast(head->target()));
    const absl::string_view line = unparsed.substr(0, unparsed.find_first_of("\r\n"));
    const std::size_t space = line.find(' ');
    const absl::string_view method = line.substr(0, space);
    if (space != absl::string_view::npos && http::string_to_verb(toBeast(method)) != http::verb::unknown) {
        const absl::string_view rest = line.substr(space + 1);
        return formatStart(method, rest.substr(0, rest.find(' ')));
    }
    const auto firstPrintable
        = absl::c_find_if(unparsed, [](char byte) { return absl::ascii_isprint(byte); });
    const auto count = static_cast<std::size_t>(std::distance(unparsed.begin(), firstPrintable));
    return absl::CHexEscape(unparsed.substr(0, std::min(count, kMaxLoggedBytes)));
}

} // namespace jackdawwall::relay
