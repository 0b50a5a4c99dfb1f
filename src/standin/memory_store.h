#ifndef QUETZALLINE_STANDIN_MEMORY_STORE_H_
#define QUETZALLINE_STANDIN_MEMORY_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standin/stored_value.h"

namespace quetzalline {

/// An in-memory replacement for the key-value service of the platform, with
/// compare-and-swap by index and reads by prefix. It is used in embedded runs,
/// in tests and by the stand-in process.
class MemoryStore {
 public:
  /// Writes a value if the index of the key equals the expected one; zero means
  /// that the key must not exist. Returns the new index, or nothing if the
  /// index differs.
  std::optional<std::int64_t> Write(const std::string& key, std::string value,
                                    std::int64_t expected);

  /// Returns all keys with a prefix in ascending order.
  std::vector<StoredValue> Read(const std::string& prefix) const;

  /// Returns the highest index of the keys with a prefix, or zero if there are
  /// none.
  std::int64_t IndexOf(const std::string& prefix) const;

  /// Index of the last write to any key.
  std::int64_t index() const { return index_; }
  /// Number of successful writes.
  std::int64_t writes() const { return writes_; }

 private:
  std::map<std::string, StoredValue> values_;
  std::int64_t index_ = 0;
  std::int64_t writes_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_STANDIN_MEMORY_STORE_H_
