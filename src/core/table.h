#ifndef QUETZALLINE_CORE_TABLE_H_
#define QUETZALLINE_CORE_TABLE_H_

#include <cstddef>
#include <map>
#include <utility>

namespace quetzalline {

/// Rows of one kind by their key, in the order of the keys. Rows are immutable
/// values: a change replaces the row.
template <typename Key, typename Row>
class Table {
 public:
  using Rows = std::map<Key, Row>;

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

  std::size_t size() const { return rows_.size(); }
  bool empty() const { return rows_.empty(); }
  typename Rows::const_iterator begin() const { return rows_.begin(); }
  typename Rows::const_iterator end() const { return rows_.end(); }

 private:
  Rows rows_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TABLE_H_
