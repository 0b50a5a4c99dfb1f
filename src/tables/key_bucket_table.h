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

/// The buckets of idempotency keys that the entry uses.
class KeyBucketTable {
 public:
  using Rows = Table<std::int32_t, KeyBucketRow>;

  /// Returns the row of a bucket; an empty one if there is none.
  KeyBucketRow Get(std::int32_t bucket) const;
  void Put(std::int32_t bucket, const KeyBucketRow& row);

  void AddWaiting(std::int32_t bucket, const RequestId& request);
  void AddRelease(std::int32_t bucket, const RequestId& request);

  /// Returns the buckets for which a call is to be made now.
  std::vector<std::int32_t> Due(Instant now) const;
  std::optional<Instant> NextRetry() const { return retries_.Earliest(); }

  const Rows& rows() const { return rows_; }

 private:
  Rows rows_;
  /// Buckets with pending changes, without a call in flight or a back-off.
  std::set<std::int32_t> pending_buckets_;
  TimeIndex<std::int32_t> retries_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_KEY_BUCKET_TABLE_H_
