// jackdaw-bench: the scenarios of the brief in virtual time, for jackdawwall and two baselines, over several
// seeds. One line for each measure.
#include "bench/scenarios.h"
#include "main/command-line.h"

#include <tclap/CmdLine.h>

#include <iostream>

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] {
        TCLAP::CmdLine line("Measures the decisions in virtual time.", ' ', kProgramVersion);
        TCLAP::MultiArg<std::string> only("s", "scenario", "Only this scenario", false, "NAME", line);
        TCLAP::MultiArg<std::string> variants("v", "variant", "Only this variant", false, "NAME", line);
        TCLAP::ValueArg<int> seeds("n", "seeds", "Seeds 1 to N", false, 3, "N", line);
        TCLAP::SwitchArg trace("t", "trace", "Prints the nodes' states as well", line);
        line.parse(argc, argv);
        bench::runScenarios(
            { only.getValue(), variants.getValue(), seeds.getValue(), trace.getValue() }, std::cout);
        return kExitOk;
    });
}
