#ifndef QUETZALLINE_CORE_TABLE_H_
#define QUETZALLINE_CORE_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace quetzalline {

/// Holds the rows of one kind by key. Rows are immutable values: a change
/// replaces the row. Rows are ordered by key, unless another type of map is
/// chosen.
template <typename Key, typename Row, typename Map = std::map<Key, Row>>
class Table {
 public:
  using Rows = Map;

  /// Returns the row with this key, or null. The pointer stays valid until the
  /// row is replaced or erased.
  const Row* Find(const Key& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? nullptr : &found->second;
  }

  /// Inserts the row, or replaces the row with the same key.
  void Put(const Key& key, Row row) {
    rows_.insert_or_assign(key, std::move(row));
  }

  /// Returns true if there was a row with this key.
  bool Erase(const Key& key) { return rows_.erase(key) > 0; }

  /// Returns the first row whose key is not less than this one. Only for
  /// ordered maps.
  typename Rows::const_iterator LowerBound(const Key& key) const {
    return rows_.lower_bound(key);
  }

  /// Returns a copy of the rows in the order of their keys, for any type of
  /// map.
  std::map<Key, Row> Sorted() const { return {rows_.begin(), rows_.end()}; }

  std::size_t size() const { return rows_.size(); }
  bool empty() const { return rows_.empty(); }
  typename Rows::const_iterator begin() const { return rows_.begin(); }
  typename Rows::const_iterator end() const { return rows_.end(); }

 private:
  Rows rows_;
};

/// Hashes a Name by its string value.
template <typename Key>
struct NameHash {
  std::size_t operator()(const Key& key) const {
    return std::hash<std::string>()(key.value());
  }
};

/// A table without an order, for lookups by name that are far more frequent
/// than iterations.
template <typename Key, typename Row>
using HashTable = Table<Key, Row, std::unordered_map<Key, Row, NameHash<Key>>>;

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TABLE_H_
