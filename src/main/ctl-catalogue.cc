// The catalogue commands of jackdawctl.
#include "main/ctl.h"

#include "adapter/catalogue-json.h"
#include "adapter/json-reader.h"
#include "main/command-line.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <array>
#include <fstream>
#include <iostream>
#include <random>

namespace jackdawwall {
namespace {

constexpr int kMaxWriteAttempts = 8;
constexpr absl::Duration kPushTimeout = absl::Seconds(2);
constexpr std::array<const char*, 3> kChangeNames { "add", "change", "remove" };

struct StoredCatalogue {
    CatalogueDocument document;
    CatalogueVersion version = 0;
};

/// Reads the operator's file; prints its findings and returns std::nullopt when it is invalid.
std::optional<CatalogueFile> readFileOrReport(const std::string& path)
{
    std::vector<Finding> findings;
    const std::string text = readFile(path, findings);
    CatalogueFile file;
    if (findings.empty())
        file = readCatalogueFile(path, text, findings);
    if (findings.empty())
        return file;
    std::cerr << formatFindings(findings);
    return std::nullopt;
}

absl::StatusOr<StoredCatalogue> readStoredCatalogue(CtlContext& context)
{
    const absl::StatusOr<StoredObject> stored = readObject(context, kCatalogueKey);
    if (absl::IsNotFound(stored.status()))
        return StoredCatalogue {};
    if (!stored.ok())
        return stored.status();
    std::vector<Finding> findings;
    std::optional<CatalogueDocument> document = readDocument(stored->value, findings);
    if (!document)
        return absl::DataLossError(formatFindings(findings));
    return StoredCatalogue { *std::move(document), stored->version };
}

std::string newApplyId()
{
    std::random_device device;
    return absl::StrCat(absl::Hex(device(), absl::kZeroPad8), absl::Hex(device(), absl::kZeroPad8));
}

void printPlan(const CtlOptions& options, const ApplyPlan& plan, CatalogueVersion version)
{
    Json::Value root(Json::objectValue);
    root["version"] = Json::UInt64(version);
    root["changes"] = Json::Value(Json::arrayValue);
    root["conflicts"] = Json::Value(Json::arrayValue);
    for (const EntryChange& change : plan.changes) {
        const char* text = kChangeNames.at(static_cast<std::size_t>(change.kind));
        Json::Value item(Json::objectValue);
        item["entry"] = change.name;
        item["change"] = text;
        root["changes"].append(item);
        if (!options.isJson)
            std::cout << text << " " << change.name << "\n";
    }
    for (const EntryConflict& conflict : plan.conflicts) {
        root["conflicts"].append(conflict.name);
        if (!options.isJson)
            std::cout << "conflict " << conflict.name << ": changed by another operator after version "
                      << conflict.changedAfter << "\n";
    }
    if (options.isJson)
        std::cout << canonicalJson(root) << "\n";
}

int printError(const absl::Status& status)
{
    std::cerr << status.message() << "\n";
    return kExitFailed;
}

/// Sends the accepted document to the nodes, so that it is applied even if the platform becomes unavailable.
/// Returns the number of nodes that accepted it.
int pushToNodes(CtlContext& context, const std::string& text, CatalogueVersion version)
{
    int acceptedCount = 0;
    for (const std::string& address : findOperatorAddresses(context)) {
        ExchangeRequest request;
        request.method = "POST";
        request.url = absl::StrCat("http://", address, "/catalogue");
        request.headers.push_back({ "Version", absl::StrCat(version) });
        request.body = text;
        request.deadline = absl::Now() + kPushTimeout;
        const absl::StatusOr<HttpResponse> response
            = fetch(context.pool, address, request, kResponseBufferBytes);
        acceptedCount += response.ok() && response->status == 200 ? 1 : 0;
    }
    return acceptedCount;
}

void updateBasedOn(const std::string& path, CatalogueVersion version)
{
    std::vector<Finding> findings;
    const std::string text = readFile(path, findings);
    std::ofstream(path, std::ios::binary) << replaceBasedOn(text, version);
}

int reportAccepted(CtlContext& context, const ApplyPlan& plan, CatalogueVersion version)
{
    const int acceptedCount = pushToNodes(context, writeDocument(plan.result), version);
    if (context.options.updatesFile)
        updateBasedOn(context.options.file, version);
    printPlan(context.options, plan, version);
    if (!context.options.isJson)
        std::cout << "accepted version=" << version << " nodes=" << acceptedCount << "\n";
    if (acceptedCount == 0)
        std::cerr << "no node has received the catalogue yet; nodes apply it when they reach the platform\n";
    return kExitOk;
}

/// Finds out whether this apply was stored, after a write with a lost or failed response. Returns its
/// version, or NotFound.
absl::StatusOr<CatalogueVersion> findOwnWrite(CtlContext& context, const std::string& applyId)
{
    const absl::StatusOr<StoredCatalogue> current = readStoredCatalogue(context);
    if (!current.ok())
        return current.status();
    if (!containsApply(current->document, applyId))
        return absl::NotFoundError("not stored");
    return current->version;
}

} // namespace

int validateCatalogue(CtlContext& context)
{
    const std::optional<CatalogueFile> file = readFileOrReport(context.options.file);
    if (!file)
        return kExitInvalid;
    std::cout << "valid entries=" << file->entries.size() << " basedOn=" << file->basedOn << "\n";
    return kExitOk;
}

int diffCatalogue(CtlContext& context)
{
    const std::optional<CatalogueFile> file = readFileOrReport(context.options.file);
    if (!file)
        return kExitInvalid;
    const absl::StatusOr<StoredCatalogue> current = readStoredCatalogue(context);
    if (!current.ok())
        return printError(current.status());
    const ApplyPlan plan
        = planApply(current->document, current->version, file->entries, file->basedOn, "diff");
    printPlan(context.options, plan, current->version);
    return plan.conflicts.empty() ? kExitOk : kExitConflict;
}

int applyCatalogue(CtlContext& context)
{
    const std::optional<CatalogueFile> file = readFileOrReport(context.options.file);
    if (!file)
        return kExitInvalid;
    const std::string applyId = newApplyId();
    for (int attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
        const absl::StatusOr<StoredCatalogue> current = readStoredCatalogue(context);
        if (!current.ok())
            return printError(current.status());
        if (containsApply(current->document, applyId)) {
            const ApplyPlan alreadyApplied { {}, {}, current->document };
            return reportAccepted(context, alreadyApplied, current->version);
        }
        const ApplyPlan plan
            = planApply(current->document, current->version, file->entries, file->basedOn, applyId);
        if (!plan.conflicts.empty()) {
            printPlan(context.options, plan, current->version);
            return kExitConflict;
        }
        if (plan.changes.empty()) {
            std::cout << "nothing to change, version=" << current->version << "\n";
            return kExitOk;
        }
        const absl::StatusOr<ObjectVersion> written
            = writeObject(context, kCatalogueKey, writeDocument(plan.result), current->version);
        if (written.ok())
            return reportAccepted(context, plan, *written);
        if (absl::IsAborted(written.status()))
            continue;
        const absl::StatusOr<CatalogueVersion> ownVersion = findOwnWrite(context, applyId);
        if (ownVersion.ok())
            return reportAccepted(context, plan, *ownVersion);
        if (!absl::IsNotFound(ownVersion.status())) {
            std::cerr << "it is unknown whether the change was stored; run the same apply again\n";
            return kExitFailed;
        }
    }
    std::cerr << "concurrent changes by other operators prevented the write in all " << kMaxWriteAttempts
              << " attempts; run the apply again\n";
    return kExitFailed;
}

int getCatalogue(CtlContext& context)
{
    const absl::StatusOr<StoredCatalogue> current = readStoredCatalogue(context);
    if (!current.ok())
        return printError(current.status());
    std::cout << writeCatalogueFile(current->document, current->version);
    return kExitOk;
}

} // namespace jackdawwall
