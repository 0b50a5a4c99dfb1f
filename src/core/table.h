#ifndef QUETZALLINE_CORE_TABLE_H_
#define QUETZALLINE_CORE_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace quetzalline {

/// Rows of one kind by their key. Rows are immutable values: a change replaces
/// the row. The rows are in the order of the keys, unless another kind of map
/// is chosen.
template <typename Key, typename Row, typename Map = std::map<Key, Row>>
class Table {
 public:
  using Rows = Map;

  /// The row with this key, or null. It stays valid until the row is replaced
  /// or erased.
  const Row* Find(const Key& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? nullptr : &found->second;
  }

  /// Inserts the row or replaces the one with its key.
  void Put(const Key& key, Row row) {
    rows_.insert_or_assign(key, std::move(row));
  }

  bool Erase(const Key& key) { return rows_.erase(key) > 0; }

  /// The first row whose key is not below this one.
  typename Rows::const_iterator LowerBound(const Key& key) const {
    return rows_.lower_bound(key);
  }

  /// The rows in the order of their keys, whatever the map.
  std::map<Key, Row> Sorted() const { return {rows_.begin(), rows_.end()}; }

  std::size_t size() const { return rows_.size(); }
  bool empty() const { return rows_.empty(); }
  typename Rows::const_iterator begin() const { return rows_.begin(); }
  typename Rows::const_iterator end() const { return rows_.end(); }

 private:
  Rows rows_;
};

/// The hash of a name.
template <typename Key>
struct NameHash {
  std::size_t operator()(const Key& key) const {
    return std::hash<std::string>()(key.value());
  }
};

/// Rows by a name without an order, for tables that are read far more often
/// than they are listed.
template <typename Key, typename Row>
using HashTable = Table<Key, Row, std::unordered_map<Key, Row, NameHash<Key>>>;

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TABLE_H_
