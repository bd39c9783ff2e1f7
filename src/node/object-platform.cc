#include "node/object-platform.h"

#include "adapter/catalogue-json.h"
#include "adapter/json-reader.h"
#include "jackdawwall/core.h"
#include "node/catalogue-interface.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>

namespace jackdawwall {
namespace {

using relay::StoredItem;
using relay::StoreListing;
using ListingDone = std::function<void(absl::StatusOr<StoreListing>)>;
using ItemDone = std::function<void(absl::StatusOr<StoredItem>)>;

StoreListing catalogueListing(const StoredObject& stored)
{
    return { { { kCatalogueKey, stored.version, packCatalogue(stored), false } }, stored.version };
}

void listCatalogue(const ObjectApi& objects, const ListingDone& done)
{
    objects.read(kCatalogueKey, [done](const absl::StatusOr<StoredObject>& stored) {
        if (stored.ok())
            done(catalogueListing(*stored));
        else if (absl::IsNotFound(stored.status()))
            done(StoreListing {}); // No catalogue has been applied yet.
        else
            done(stored.status());
    });
}

void listSeeds(const ObjectApi& objects, const ListingDone& done)
{
    objects.list(kSeedPrefix, "", [done](const absl::StatusOr<std::vector<StoredObject>>& seeds) {
        if (!seeds.ok()) {
            done(seeds.status());
            return;
        }
        StoreListing listing;
        for (const StoredObject& seed : *seeds) {
            listing.items.push_back({ seed.key, seed.version, seed.value, false });
            listing.revision = std::max(listing.revision, seed.version);
        }
        done(std::move(listing));
    });
}

void writeSeedRecord(const ObjectApi& objects, const std::string& key, const std::string& name,
    const relay::MergeContent& merge, const ItemDone& done)
{
    objects.read(key, [objects, key, name, merge, done](const absl::StatusOr<StoredObject>& stored) {
        if (!stored.ok() && !absl::IsNotFound(stored.status())) {
            done(stored.status());
            return;
        }
        const StoredObject previous = stored.ok() ? *stored : StoredObject {};
        objects.write(key, merge(previous.value), previous.version,
            [name, previous, done](const absl::StatusOr<ObjectVersion>& written) {
                if (written.ok())
                    done(StoredItem { name, *written, previous.value, false });
                else
                    done(written.status());
            });
    });
}

void watchCatalogue(
    const ObjectApi& objects, relay::StoreRevision after, const WatchTiming& timing, const ListingDone& done)
{
    objects.watch(kCatalogueKey, after, timing, [after, done](const absl::StatusOr<StoredObject>& stored) {
        if (stored.ok())
            done(catalogueListing(*stored));
        else if (absl::IsNotFound(stored.status())) // No change.
            done(StoreListing { {}, after });
        else
            done(stored.status());
    });
}

/// Decodes a catalogue that jackdawctl pushes right after storing it, so that it is applied even if the
/// platform becomes unavailable.
absl::StatusOr<std::string> decodePushedCatalogue(const relay::Request& request)
{
    StoredObject stored { kCatalogueKey, request.body(), 0 };
    if (request.target() != "/catalogue")
        return absl::NotFoundError("POST goes to /catalogue");
    if (!absl::SimpleAtoi(relay::headerValue(request, "Version"), &stored.version))
        return absl::InvalidArgumentError("the header Version is missing");
    return packCatalogue(stored);
}

} // namespace

relay::PlatformPort objectPlatform(const ObjectApi& objects, const std::string& dataCentre)
{
    relay::PlatformPort port;
    port.configurationKind = kCatalogueKey;
    port.configurationName = kCatalogueKey;
    port.nodeKind = kSeedPrefix;
    port.store.list
        = [objects](const relay::StoreKind& kind, relay::ReadConsistency, const ListingDone& done) {
              if (kind == kCatalogueKey)
                  listCatalogue(objects, done);
              else
                  listSeeds(objects, done);
          };
    port.store.update = [objects, dataCentre](const relay::StoreKind&, const std::string& name,
                            const relay::MergeContent& merge, const ItemDone& done) {
        const std::uint64_t slot = mixBits(stableHash(name)) % kSeedSlots;
        writeSeedRecord(objects, absl::StrCat(kSeedPrefix, dataCentre, "/", slot), name, merge, done);
    };
    port.store.watch
        = [objects](const relay::StoreKind&, relay::StoreRevision after, const WatchTiming& timing,
              const ListingDone& done) { watchCatalogue(objects, after, timing, done); };
    port.decodeConfiguration = unpackCatalogue;
    port.decodeSubmittedConfiguration = decodePushedCatalogue;
    return port;
}

std::string operatorAddressIn(const std::string& record)
{
    std::vector<Finding> findings;
    const auto value = parseJson({ "seed", record, &findings });
    return value && (*value)["operator"].isString() ? (*value)["operator"].asString() : "";
}

} // namespace jackdawwall
