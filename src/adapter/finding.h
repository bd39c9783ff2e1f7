/// Findings about input files, collected with their place and reported together.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jackdawwall {

/// One thing wrong with an input; line 0 means the whole file or the command line.
struct Finding {
    std::string file;
    int line = 0;
    std::string key;
    std::string message;
};

/// "file:line: key: message", one line each.
std::string formatFindings(const std::vector<Finding>& findings);

/// Whole content of a file; a finding when it can't be read or exceeds 64 MiB.
std::string readFile(const std::string& path, std::vector<Finding>& findings);

} // namespace jackdawwall
