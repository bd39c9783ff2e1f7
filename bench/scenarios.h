/// Load scenarios of the benchmark.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace jackdawwall::bench {

struct ScenarioOptions {
    std::vector<std::string> scenarios; ///< Empty: all.
    std::vector<std::string> variants; ///< Empty: all.
    int seeds = 3;
    bool hasTrace = false;
};

/// Runs the selected scenarios and prints lines of the form "measure=... scenario=... variant=... value=...
/// unit=... seed=...".
void runScenarios(const ScenarioOptions& options, std::ostream& out);

} // namespace jackdawwall::bench
