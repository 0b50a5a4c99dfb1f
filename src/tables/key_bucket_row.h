#ifndef QUETZALLINE_TABLES_KEY_BUCKET_ROW_H_
#define QUETZALLINE_TABLES_KEY_BUCKET_ROW_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "core/request_id.h"
#include "core/shared.h"
#include "core/time.h"
#include "core/value.h"
#include "records/key_bucket.h"

namespace quetzalline {

/// A bucket of idempotency keys, with the changes that wait to be written to
/// it.
class KeyBucketRow {
 public:
  class Builder;

  static constexpr std::string_view kName = "key-bucket-row";

  /// The bucket as last read or written; empty before the first read.
  const std::optional<Shared<KeyBucket>>& known() const { return known_; }
  /// Store index of the bucket; 0 if it does not exist.
  std::int64_t index() const { return index_; }
  /// Requests whose keys are to be registered.
  const std::vector<RequestId>& waiting() const { return waiting_; }
  /// Requests that did not run, so their keys are to be released.
  const std::vector<RequestId>& releases() const { return releases_; }
  /// The bucket that is being written; empty if no write is in flight.
  const std::optional<Shared<KeyBucket>>& written() const { return written_; }
  /// Returns true while a call for the bucket is in flight.
  bool busy() const { return busy_; }
  /// Earliest time of the next call; empty if there is no back-off.
  const std::optional<Instant>& retry_at() const { return retry_at_; }

  friend auto operator<=>(const KeyBucketRow&, const KeyBucketRow&) = default;

 private:
  QUETZALLINE_VALUE(KeyBucketRow, known_, index_, waiting_, releases_, written_,
                    busy_, retry_at_)

  std::optional<Shared<KeyBucket>> known_;
  std::int64_t index_ = 0;
  std::vector<RequestId> waiting_;
  std::vector<RequestId> releases_;
  std::optional<Shared<KeyBucket>> written_;
  bool busy_ = false;
  std::optional<Instant> retry_at_;
};

/// Builds a KeyBucketRow; fields that are not set keep their defaults.
class KeyBucketRow::Builder : public ValueBuilder<KeyBucketRow, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& known(std::optional<Shared<KeyBucket>> value) {
    return Set(value_.known_, std::move(value));
  }
  Builder& index(std::int64_t value) { return Set(value_.index_, value); }
  Builder& waiting(std::vector<RequestId> value) {
    return Set(value_.waiting_, std::move(value));
  }
  Builder& releases(std::vector<RequestId> value) {
    return Set(value_.releases_, std::move(value));
  }
  Builder& written(std::optional<Shared<KeyBucket>> value) {
    return Set(value_.written_, std::move(value));
  }
  Builder& busy(bool value) { return Set(value_.busy_, value); }
  Builder& retry_at(std::optional<Instant> value) {
    return Set(value_.retry_at_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_KEY_BUCKET_ROW_H_
