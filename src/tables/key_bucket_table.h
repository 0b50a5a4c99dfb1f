#ifndef QUETZALLINE_TABLES_KEY_BUCKET_TABLE_H_
#define QUETZALLINE_TABLES_KEY_BUCKET_TABLE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "core/table.h"
#include "core/time.h"
#include "core/time_index.h"
#include "tables/key_bucket_row.h"

namespace quetzalline {

/// The buckets of idempotency keys that the entry has to do with.
class KeyBucketTable {
 public:
  using Rows = Table<std::int32_t, KeyBucketRow>;

  /// The row of a bucket; an empty one where there is none.
  KeyBucketRow Get(std::int32_t bucket) const;
  void Put(std::int32_t bucket, const KeyBucketRow& row);

  void AddWaiting(std::int32_t bucket, const RequestId& request);
  void AddRelease(std::int32_t bucket, const RequestId& request);

  /// Buckets that want a call made now.
  std::vector<std::int32_t> Due(Instant now) const;
  std::optional<Instant> NextRetry() const { return retries_.Earliest(); }

  const Rows& rows() const { return rows_; }

 private:
  Rows rows_;
  std::set<std::int32_t> wanting_;
  TimeIndex<std::int32_t> retries_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_KEY_BUCKET_TABLE_H_
