#include "node/own-platform.h"

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
            done(StoreListing {}); // Nothing was ever applied.
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

void putSeed(const ObjectApi& objects, const std::string& key, const StoredItem& item, const ItemDone& done)
{
    objects.read(key, [objects, key, item, done](const absl::StatusOr<StoredObject>& before) {
        if (!before.ok() && !absl::IsNotFound(before.status())) {
            done(before.status());
            return;
        }
        const StoredObject held = before.ok() ? *before : StoredObject {};
        objects.write(key, item.content, held.version,
            [item, held, done](const absl::StatusOr<ObjectVersion>& written) {
                if (written.ok())
                    done(StoredItem { item.name, *written, held.value, false });
                else
                    done(written.status());
            });
    });
}

void watchCatalogue(
    const ObjectApi& objects, relay::StoreRevision after, absl::Duration longest, const ListingDone& done)
{
    objects.watch(kCatalogueKey, after, longest, [after, done](const absl::StatusOr<StoredObject>& stored) {
        if (stored.ok())
            done(catalogueListing(*stored));
        else if (absl::IsNotFound(stored.status())) // No change.
            done(StoreListing { {}, after });
        else
            done(stored.status());
    });
}

/// What an operator's tool has just stored, in case the platform goes away now.
absl::StatusOr<std::string> handedOver(const relay::Request& request)
{
    StoredObject stored { kCatalogueKey, request.body(), 0 };
    if (request.target() != "/catalogue")
        return absl::NotFoundError("POST goes to /catalogue");
    if (!absl::SimpleAtoi(relay::headerOf(request, "Version"), &stored.version))
        return absl::InvalidArgumentError("the header Version is missing");
    return packCatalogue(stored);
}

} // namespace

relay::PlatformPort ownPlatform(const ObjectApi& objects, const std::string& dataCentre)
{
    relay::PlatformPort port;
    port.configurationKind = kCatalogueKey;
    port.configurationName = kCatalogueKey;
    port.nodeKind = kSeedPrefix;
    port.store.list = [objects](const relay::StoreKind& kind, const ListingDone& done) {
        if (kind == kCatalogueKey)
            listCatalogue(objects, done);
        else
            listSeeds(objects, done);
    };
    port.store.put
        = [objects, dataCentre](const relay::StoreKind&, const StoredItem& item, const ItemDone& done) {
              const std::uint64_t slot = mixBits(stableHash(item.name)) % kSeedSlots;
              putSeed(objects, absl::StrCat(kSeedPrefix, dataCentre, "/", slot), item, done);
          };
    port.store.watch = [objects](const relay::StoreKind&, relay::StoreRevision after, absl::Duration longest,
                           const ListingDone& done) { watchCatalogue(objects, after, longest, done); };
    port.decodeConfiguration = unpackCatalogue;
    port.decodeSubmittedConfiguration = handedOver;
    return port;
}

std::string operatorAddressIn(const std::string& record)
{
    std::vector<Finding> findings;
    const auto value = parseJson({ "seed", record, &findings });
    return value && (*value)["operator"].isString() ? (*value)["operator"].asString() : "";
}

} // namespace jackdawwall
