// jackdaw-bench: runs the load scenarios in virtual time for jackdawwall and two baselines over several
// seeds. Prints one line per measure.
#include "bench/scenarios.h"
#include "main/command-line.h"

#include <tclap/CmdLine.h>

#include <iostream>

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] {
        TCLAP::CmdLine line("Measures the decision code under simulated load.", ' ', kProgramVersion);
        TCLAP::MultiArg<std::string> only("s", "scenario", "Run only this scenario", false, "NAME", line);
        TCLAP::MultiArg<std::string> variants("v", "variant", "Run only this variant", false, "NAME", line);
        TCLAP::ValueArg<int> seeds("n", "seeds", "Run seeds 1 to N", false, 3, "N", line);
        TCLAP::SwitchArg trace("t", "trace", "Also print the state of the first node of each service", line);
        line.parse(argc, argv);
        bench::runScenarios(
            { only.getValue(), variants.getValue(), seeds.getValue(), trace.getValue() }, std::cout);
        return kExitOk;
    });
}
