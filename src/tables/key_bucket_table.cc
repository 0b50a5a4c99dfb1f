#include "tables/key_bucket_table.h"

namespace quetzalline {
KeyBucketRow KeyBucketTable::Get(std::int32_t bucket) const {
  const KeyBucketRow* row = rows_.Find(bucket);
  return row == nullptr ? KeyBucketRow() : *row;
}

void KeyBucketTable::Put(std::int32_t bucket, const KeyBucketRow& row) {
  const bool has_changes = !row.waiting().empty() || !row.releases().empty();
  pending_buckets_.erase(bucket);
  retries_.Clear(bucket);
  if (has_changes && !row.busy()) {
    if (row.retry_at()) {
      retries_.Set(bucket, *row.retry_at());
    } else {
      pending_buckets_.insert(bucket);
    }
  }
  rows_.Put(bucket, row);
}

void KeyBucketTable::AddWaiting(std::int32_t bucket, const RequestId& request) {
  const KeyBucketRow row = Get(bucket);
  std::vector<RequestId> waiting = row.waiting();
  waiting.push_back(request);
  Put(bucket, KeyBucketRow::Builder(row).waiting(std::move(waiting)).Build());
}

void KeyBucketTable::AddRelease(std::int32_t bucket, const RequestId& request) {
  const KeyBucketRow row = Get(bucket);
  std::vector<RequestId> releases = row.releases();
  releases.push_back(request);
  Put(bucket, KeyBucketRow::Builder(row).releases(std::move(releases)).Build());
}

std::vector<std::int32_t> KeyBucketTable::Due(Instant now) const {
  std::vector<std::int32_t> due(pending_buckets_.begin(),
                                pending_buckets_.end());
  for (const std::int32_t bucket : retries_.Due(now)) due.push_back(bucket);
  return due;
}

}  // namespace quetzalline
