/// Validation errors in input files, collected with their location and reported together.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jackdawwall {

/// One validation error; line 0 refers to the entire file or the command line.
struct Finding {
    std::string file;
    int line = 0;
    std::string key;
    std::string message;
};

/// Formats each finding as a line "file:line: key: message".
std::string formatFindings(const std::vector<Finding>& findings);

/// Returns the content of a file; reports a finding when it can't be read or exceeds 64 MiB.
std::string readFile(const std::string& path, std::vector<Finding>& findings);

} // namespace jackdawwall
