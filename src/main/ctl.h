/// Commands of jackdawctl. Each returns the exit code of the program.
#pragma once

#include "adapter/connection-pool.h"
#include "node/object-api.h"

#include <string>
#include <vector>

namespace jackdawwall {

/// Options from the command line.
struct CtlOptions {
    std::string command;
    std::string file;
    std::vector<std::string> platformAddresses;
    std::vector<std::string> nodeAddresses; ///< Operator addresses.
    std::vector<std::string> logFiles; ///< Input of the timeline command.
    std::vector<std::string> filters; ///< "key=value" pairs that an event must contain.
    std::string htmlFile;
    bool isJson = false;
    bool updatesFile = true; ///< Whether apply writes the new version into the file.
};

/// Options and connections of one run.
struct CtlContext {
    CtlOptions options;
    ConnectionPool pool; ///< Connections to nodes.
    relay::asio::io_context loop;
    ObjectApi objects;
};

/// Blocking calls to the platform; errors as in ObjectApi.
absl::StatusOr<StoredObject> readObject(CtlContext& context, const std::string& key);
absl::StatusOr<ObjectVersion> writeObject(
    CtlContext& context, const std::string& key, const std::string& value, ObjectVersion ifVersion);
absl::StatusOr<std::vector<StoredObject>> listObjects(CtlContext& context, const std::string& prefix);

int validateCatalogue(CtlContext& context);
int diffCatalogue(CtlContext& context);
int applyCatalogue(CtlContext& context);
int getCatalogue(CtlContext& context);
int showStatus(CtlContext& context);
int showTimeline(CtlContext& context);
int showLimits(CtlContext& context);

/// Operator addresses of the reachable nodes and of the members that they report as not dead. Starts from the
/// addresses on the command line and the seed records of the platform.
std::vector<std::string> findOperatorAddresses(CtlContext& context);

} // namespace jackdawwall
