#ifndef QUETZALLINE_CORE_HASH_TABLE_H_
#define QUETZALLINE_CORE_HASH_TABLE_H_

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace quetzalline {

/// Rows of one kind by a name, without an order, for tables that are read far
/// more often than they are listed. A change replaces the row.
template <typename Key, typename Row>
class HashTable {
 public:
  struct Hash {
    std::size_t operator()(const Key& key) const {
      return std::hash<std::string>()(key.value());
    }
  };
  using Rows = std::unordered_map<Key, Row, Hash>;

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

  /// The rows in the order of their keys.
  std::map<Key, Row> Sorted() const { return {rows_.begin(), rows_.end()}; }

  std::size_t size() const { return rows_.size(); }
  typename Rows::const_iterator begin() const { return rows_.begin(); }
  typename Rows::const_iterator end() const { return rows_.end(); }

 private:
  Rows rows_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_HASH_TABLE_H_
