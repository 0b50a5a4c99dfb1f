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

/// The platform's key-value service in memory: compare-and-swap by index and
/// watches by prefix. It stands in for the real service in the embedded run, in
/// tests, and behind the stand-in process.
class MemoryStore {
 public:
  /// Writes the value if the key's index is the expected one, where zero
  /// expects that there is no key. The new index, or empty where nothing was
  /// written.
  std::optional<std::int64_t> Write(const std::string& key, std::string value,
                                    std::int64_t expected);

  std::vector<StoredValue> Read(const std::string& prefix) const;

  /// The highest index under a prefix; the store's index where it has none.
  std::int64_t IndexOf(const std::string& prefix) const;

  /// The index of the last write of all.
  std::int64_t index() const { return index_; }
  std::int64_t writes() const { return writes_; }

 private:
  std::map<std::string, StoredValue> values_;
  std::int64_t index_ = 0;
  std::int64_t writes_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_STANDIN_MEMORY_STORE_H_
