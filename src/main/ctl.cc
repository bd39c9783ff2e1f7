// jackdawctl, the command-line tool for operators.
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

/// Timeout of one call to the platform; an operator is waiting for it.
constexpr absl::Duration kPlatformTimeout = absl::Seconds(5);

constexpr std::array<Command, 7> kCommands { { { "validate", &validateCatalogue }, { "diff", &diffCatalogue },
    { "apply", &applyCatalogue }, { "get", &getCatalogue }, { "status", &showStatus },
    { "timeline", &showTimeline }, { "limits", &showLimits } } };

CtlOptions readOptions(int argc, char** argv)
{
    TCLAP::CmdLine line(
        "Manages a jackdawwall fleet. Commands: validate FILE, diff FILE, apply FILE, get, status, "
        "timeline, limits. Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict.",
        ' ', kProgramVersion);
    TCLAP::MultiArg<std::string> platform("p", "platform", "Address of the platform", false, "IP:PORT", line);
    TCLAP::MultiArg<std::string> nodes("n", "node", "Operator address of a node", false, "IP:PORT", line);
    TCLAP::MultiArg<std::string> logs("l", "log", "Log file for the timeline", false, "FILE", line);
    TCLAP::MultiArg<std::string> filters(
        "f", "filter", "Shows only events with this pair, e.g. request=t1-a", false, "KEY=VALUE", line);
    TCLAP::ValueArg<std::string> html(
        "", "html", "Writes the timeline as an HTML page", false, "", "FILE", line);
    TCLAP::ValueArg<std::string> output("o", "output", "text or json", false, "text", "FORM", line);
    TCLAP::SwitchArg keepFile("k", "no-update", "apply does not update basedOn in the file", line);
    TCLAP::UnlabeledValueArg<std::string> command("command", "Command to run", true, "", "COMMAND", line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "Catalogue file", false, "", "FILE", line);
    line.parse(argc, argv);
    if (output.getValue() != "text" && output.getValue() != "json")
        throw TCLAP::CmdLineParseException("must be text or json", "--output");
    return { command.getValue(), file.getValue(), platform.getValue(), nodes.getValue(), logs.getValue(),
        filters.getValue(), html.getValue(), output.getValue() == "json", !keepFile.getValue() };
}

int runCommand(CtlOptions options)
{
    CtlContext context;
    context.options = std::move(options);
    context.objects = connectObjectApi(context.loop, { context.options.platformAddresses, kPlatformTimeout });
    for (const Command& command : kCommands) {
        if (context.options.command == command.name)
            return command.run(context);
    }
    std::cerr << "unknown command: " << context.options.command << "; see --help\n";
    return kExitInvalid;
}

} // namespace

absl::StatusOr<StoredObject> readObject(CtlContext& context, const std::string& key)
{
    return await<StoredObject>(
        context.loop, [&](ObjectCallback<StoredObject> done) { context.objects.read(key, std::move(done)); });
}

absl::StatusOr<ObjectVersion> writeObject(
    CtlContext& context, const std::string& key, const std::string& value, ObjectVersion ifVersion)
{
    return await<ObjectVersion>(context.loop, [&](ObjectCallback<ObjectVersion> done) {
        context.objects.write(key, value, ifVersion, std::move(done));
    });
}

absl::StatusOr<std::vector<StoredObject>> listObjects(CtlContext& context, const std::string& prefix)
{
    return await<std::vector<StoredObject>>(
        context.loop, [&](ObjectCallback<std::vector<StoredObject>> done) {
            context.objects.list(prefix, "", std::move(done));
        });
}

} // namespace jackdawwall

int main(int argc, char** argv)
{
    using namespace jackdawwall;
    return runMain([&] { return runCommand(readOptions(argc, argv)); });
}
