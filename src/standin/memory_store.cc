#include "standin/memory_store.h"

#include <algorithm>

namespace quetzalline {
std::optional<std::int64_t> MemoryStore::Write(const std::string& key,
                                               std::string value,
                                               std::int64_t expected) {
  const auto found = values_.find(key);
  const std::int64_t current =
      found == values_.end() ? 0 : found->second.index();
  if (current != expected) return std::nullopt;
  ++index_;
  ++writes_;
  values_[key] = StoredValue::Builder()
                     .key(key)
                     .value(std::move(value))
                     .index(index_)
                     .Build();
  return index_;
}

std::vector<StoredValue> MemoryStore::Read(const std::string& prefix) const {
  std::vector<StoredValue> found;
  for (auto it = values_.lower_bound(prefix);
       it != values_.end() && it->first.starts_with(prefix); ++it) {
    found.push_back(it->second);
  }
  return found;
}

std::int64_t MemoryStore::IndexOf(const std::string& prefix) const {
  std::int64_t highest = 0;
  for (const StoredValue& value : Read(prefix)) {
    highest = std::max(highest, value.index());
  }
  return highest;
}

}  // namespace quetzalline
