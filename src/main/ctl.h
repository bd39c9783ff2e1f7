/// Commands of jackdawctl; each returns the program's exit code.
#pragma once

#include "adapter/connection-pool.h"
#include "node/object-api.h"

#include <string>
#include <vector>

namespace jackdawwall {

/// What the command line says.
struct CtlOptions {
    std::string command;
    std::string file;
    std::vector<std::string> platformAddresses;
    std::vector<std::string> nodeAddresses; ///< Operator addresses.
    std::vector<std::string> logFiles; ///< For the time line.
    std::vector<std::string> filters; ///< "key=value" that an event must hold.
    std::string htmlFile;
    bool isJson = false;
    bool updatesFile = true; ///< An apply writes the new version into the file.
};

/// Connections of one run.
struct CtlContext {
    CtlOptions options;
    ConnectionPool pool; ///< To nodes.
    relay::asio::io_context loop;
    ObjectApi objects;
};

/// One call to the platform, awaited; errors as in ObjectApi.
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

/// Operator addresses of the fleet: those given, else what the platform's seed records and the nodes know.
std::vector<std::string> findOperatorAddresses(CtlContext& context);

} // namespace jackdawwall
