#include "adapter/finding.h"

#include "absl/strings/str_cat.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace jackdawwall {
namespace {

constexpr std::uintmax_t kMaxFileBytes = 64ULL << 20;

} // namespace

std::string formatFindings(const std::vector<Finding>& findings)
{
    std::string text;
    for (const Finding& finding : findings) {
        const std::string line = finding.line > 0 ? absl::StrCat(":", finding.line) : "";
        const std::string key = finding.key.empty() ? "" : absl::StrCat(finding.key, ": ");
        absl::StrAppend(&text, finding.file, line, ": ", key, finding.message, "\n");
    }
    return text;
}

std::string readFile(const std::string& path, std::vector<Finding>& findings)
{
    std::error_code error;
    const std::uintmax_t size = std::filesystem::file_size(path, error);
    if (error || size > kMaxFileBytes) {
        findings.push_back({ path, 0, "", error ? error.message() : "file is larger than 64 MiB" });
        return "";
    }
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        findings.push_back({ path, 0, "", "file can't be opened" });
        return "";
    }
    return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
}

} // namespace jackdawwall
