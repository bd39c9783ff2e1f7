#include "jackdawwall/catalogue.h"

#include "absl/strings/string_view.h"

#include <algorithm>

namespace jackdawwall {
namespace {

constexpr std::size_t kMaximumApplyIds = 64;

template <typename Entry>
Entry findEntry(const absl::flat_hash_map<std::string, Entry>& entries, absl::string_view name)
{
    auto found = entries.find(name);
    if (found == entries.end())
        found = entries.find(kDefaultName);
    Entry entry = found == entries.end() ? Entry {} : found->second;
    entry.name = std::string(name);
    return entry;
}

bool changedSince(CatalogueVersion changedAfter, CatalogueVersion basedOn)
{
    return changedAfter >= basedOn;
}

/// Builds one plan, whose changes are all based on `headVersion`.
struct Planner {
    ApplyPlan& plan;
    CatalogueVersion headVersion;
    CatalogueVersion basedOn;

    bool isStale() const { return basedOn < headVersion; }

    void conflict(const std::string& name, CatalogueVersion changedAfter) const
    {
        plan.conflicts.push_back({ name, changedAfter });
    }

    void change(const std::string& name, const DocumentEntry& entry, const std::string& value) const
    {
        if (entry.value == value)
            return;
        if (isStale() && changedSince(entry.changedAfter, basedOn))
            return conflict(name, entry.changedAfter);
        DocumentEntry& stored = plan.result.entries[name];
        stored.value = value;
        stored.changedAfter = headVersion;
        plan.changes.push_back({ name, ChangeKind::Changed });
    }

    void add(const std::string& name, const std::string& value) const
    {
        const auto tombstone = plan.result.removed.find(name);
        if (tombstone != plan.result.removed.end()) {
            if (isStale() && changedSince(tombstone->second, basedOn))
                return conflict(name, tombstone->second);
            plan.result.removed.erase(tombstone);
        }
        plan.result.entries[name] = DocumentEntry { value, headVersion, headVersion };
        plan.changes.push_back({ name, ChangeKind::Added });
    }

    void remove(const std::string& name, const DocumentEntry& entry) const
    {
        if (isStale() && changedSince(entry.addedAfter, basedOn))
            return; // Added by another operator after the checkout, which therefore does not contain it.
        if (isStale() && changedSince(entry.changedAfter, basedOn))
            return conflict(name, entry.changedAfter);
        plan.result.entries.erase(name);
        plan.result.removed[name] = headVersion;
        plan.changes.push_back({ name, ChangeKind::Removed });
    }
};

void recordApplyId(CatalogueDocument& document, absl::string_view applyId)
{
    document.applyIds.emplace_back(applyId);
    if (document.applyIds.size() > kMaximumApplyIds)
        document.applyIds.erase(document.applyIds.begin());
}

} // namespace

CallerEntry findCaller(const Catalogue& catalogue, absl::string_view name)
{
    return findEntry(catalogue.callers, name);
}

WorkEntry findWork(const Catalogue& catalogue, absl::string_view name)
{
    return findEntry(catalogue.works, name);
}

bool isNewer(CatalogueVersion offered, CatalogueVersion current)
{
    return offered > current;
}

ApplyPlan planApply(const CatalogueDocument& head, CatalogueVersion headVersion,
    const DesiredEntries& desired, CatalogueVersion basedOn, absl::string_view applyId)
{
    ApplyPlan plan;
    plan.result = head;
    const Planner planner { plan, headVersion, basedOn };
    for (const auto& [name, value] : desired) {
        const auto found = head.entries.find(name);
        if (found == head.entries.end())
            planner.add(name, value);
        else
            planner.change(name, found->second, value);
    }
    for (const auto& [name, entry] : head.entries) {
        if (!desired.contains(name))
            planner.remove(name, entry);
    }
    recordApplyId(plan.result, applyId);
    return plan;
}

bool containsApply(const CatalogueDocument& document, absl::string_view applyId)
{
    return std::find(document.applyIds.begin(), document.applyIds.end(), applyId) != document.applyIds.end();
}

} // namespace jackdawwall
