#include "standin/object-store.h"

namespace jackdawwall::standin {

absl::StatusOr<Object> ObjectStore::read(const std::string& key) const
{
    const absl::MutexLock lock(&mutex_);
    const auto found = objects_.find(key);
    if (found == objects_.end())
        return absl::NotFoundError(key);
    return found->second;
}

absl::StatusOr<std::uint64_t> ObjectStore::write(
    const std::string& key, const std::string& value, std::uint64_t ifVersion)
{
    const absl::MutexLock lock(&mutex_);
    const auto found = objects_.find(key);
    const std::uint64_t stored = found == objects_.end() ? 0 : found->second.version;
    if (stored != ifVersion)
        return absl::AbortedError(key);
    objects_[key] = Object { key, value, ++lastVersion_ };
    return lastVersion_;
}

absl::Status ObjectStore::remove(const std::string& key, std::uint64_t ifVersion)
{
    const absl::MutexLock lock(&mutex_);
    const auto found = objects_.find(key);
    if (found == objects_.end())
        return absl::NotFoundError(key);
    if (found->second.version != ifVersion)
        return absl::AbortedError(key);
    objects_.erase(found);
    ++lastVersion_;
    return absl::OkStatus();
}

std::vector<Object> ObjectStore::list(
    const std::string& prefix, const std::string& afterKey, std::size_t limit) const
{
    const absl::MutexLock lock(&mutex_);
    std::vector<Object> found;
    for (auto next = objects_.upper_bound(std::max(prefix, afterKey)); next != objects_.end(); ++next) {
        if (next->first.compare(0, prefix.size(), prefix) != 0 || found.size() >= limit)
            break;
        found.push_back(next->second);
    }
    return found;
}

bool ObjectStore::isNewer(const std::string& key, std::uint64_t afterVersion) const
{
    const auto found = objects_.find(key);
    return found != objects_.end() && found->second.version > afterVersion;
}

absl::StatusOr<Object> ObjectStore::watch(
    const std::string& key, std::uint64_t afterVersion, absl::Duration timeout) const
{
    const absl::MutexLock lock(&mutex_);
    const auto isChanged = [&] { return isNewer(key, afterVersion); };
    if (!mutex_.AwaitWithTimeout(absl::Condition(&isChanged), timeout))
        return absl::NotFoundError(key);
    return objects_.at(key);
}

} // namespace jackdawwall::standin
