#ifndef QUETZALLINE_CORE_TIME_INDEX_H_
#define QUETZALLINE_CORE_TIME_INDEX_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/time.h"

namespace quetzalline {

/// Orders keys by their due times. Each key has at most one due time.
template <typename Key>
class TimeIndex {
 public:
  /// Sets the due time of the key or replaces it.
  void Set(const Key& key, Instant due) {
    const auto [entry, added] = times_.try_emplace(key, due);
    if (!added) {
      if (entry->second == due) return;
      order_.erase({entry->second, key});
      entry->second = due;
    }
    order_.insert({due, key});
  }

  /// Removes the due time of the key, if it has one.
  void Clear(const Key& key) {
    const auto entry = times_.find(key);
    if (entry == times_.end()) return;
    order_.erase({entry->second, key});
    times_.erase(entry);
  }

  /// Returns the earliest due time, or nullopt if there are no keys.
  std::optional<Instant> Earliest() const {
    if (order_.empty()) return std::nullopt;
    return order_.begin()->first;
  }

  /// Returns the keys that are due at this time or before, earliest first.
  std::vector<Key> Due(Instant now) const {
    std::vector<Key> due;
    for (const auto& [time, key] : order_) {
      if (time > now) break;
      due.push_back(key);
    }
    return due;
  }

 private:
  std::map<Key, Instant> times_;
  std::set<std::pair<Instant, Key>> order_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TIME_INDEX_H_
