// jackdawctl: the operators' command line.
#include "main/ctl.h"

#include "main/command-line.h"

#include <tclap/CmdLine.h>

#include <array>
#include <iostream>

namespace jackdawwall {
namespace {

struct Command {
    const char* name;
    int (*run)(CtlContext&);
};

constexpr std::array<Command, 6> kCommands { { { "validate", &validateCatalogue }, { "diff", &diffCatalogue },
    { "apply", &applyCatalogue }, { "get", &getCatalogue }, { "status", &showStatus },
    { "timeline", &showTimeline } } };

CtlOptions readOptions(int argc, char** argv)
{
    TCLAP::CmdLine line("Operates jackdawwall. Commands: validate FILE, diff FILE, apply FILE, get, status, "
                        "timeline. Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict.",
        ' ', kProgramVersion);
    TCLAP::MultiArg<std::string> platform("p", "platform", "Address of the platform", false, "IP:PORT", line);
    TCLAP::MultiArg<std::string> nodes("n", "node", "Operator address of a node", false, "IP:PORT", line);
    TCLAP::MultiArg<std::string> logs("l", "log", "Log file for the time line", false, "FILE", line);
    TCLAP::MultiArg<std::string> filters(
        "f", "filter", "Pair that an event must hold, e.g. request=t1-a", false, "KEY=VALUE", line);
    TCLAP::ValueArg<std::string> html("", "html", "Writes the time line as a page", false, "", "FILE", line);
    TCLAP::ValueArg<std::string> output("o", "output", "text or json", false, "text", "FORM", line);
    TCLAP::SwitchArg keepFile("k", "no-update", "apply leaves basedOn in the file as it is", line);
    TCLAP::UnlabeledValueArg<std::string> command("command", "What to do", true, "", "COMMAND", line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "Catalogue", false, "", "FILE", line);
    line.parse(argc, argv);
    if (output.getValue() != "text" && output.getValue() != "json")
        throw TCLAP::CmdLineParseException("must be text or json", "--output");
    return { command.getValue(), file.getValue(), platform.getValue(), nodes.getValue(), logs.getValue(),
        filters.getValue(), html.getValue(), output.getValue() == "json", !keepFile.getValue() };
}

int runCommand(CtlOptions options)
{
    CtlContext context { std::move(options), {}, {} };
    context.platform = connectPlatform({ context.options.platformAddresses, absl::Seconds(5) }, context.pool);
    for (const Command& command : kCommands) {
        if (context.options.command == command.name)
            return command.run(context);
    }
    std::cerr << "no such command: " << context.options.command << "; see --help\n";
    return kExitInvalid;
}

} // namespace
} // namespace jackdawwall

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] { return runCommand(readOptions(argc, argv)); });
}
