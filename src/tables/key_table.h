#ifndef QUETZALLINE_TABLES_KEY_TABLE_H_
#define QUETZALLINE_TABLES_KEY_TABLE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/table.h"
#include "core/time.h"
#include "core/time_index.h"
#include "tables/key_id.h"
#include "tables/remembered_key.h"

namespace quetzalline {

/// The idempotency keys that an agent remembers, indexed by age.
class KeyTable {
 public:
  using Rows = Table<KeyId, RememberedKey>;

  const RememberedKey* Find(const KeyId& id) const { return rows_.Find(id); }
  void Put(const KeyId& id, const RememberedKey& row) {
    seen_.Set(id, row.seen());
    rows_.Put(id, row);
  }
  void Erase(const KeyId& id) {
    seen_.Clear(id);
    rows_.Erase(id);
  }

  /// Returns the keys last seen at or before this time, oldest first.
  std::vector<KeyId> SeenBy(Instant time) const { return seen_.Due(time); }
  std::optional<Instant> OldestSeen() const { return seen_.Earliest(); }

  std::size_t size() const { return rows_.size(); }
  const Rows& rows() const { return rows_; }

 private:
  Rows rows_;
  TimeIndex<KeyId> seen_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_KEY_TABLE_H_
