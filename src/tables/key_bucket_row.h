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

/// What the entry knows of a bucket of idempotency keys and wants of it.
class KeyBucketRow {
 public:
  class Builder;

  static constexpr std::string_view kName = "key-bucket-row";

  /// The bucket as last read or written; empty until it was read.
  const std::optional<Shared<KeyBucket>>& known() const { return known_; }
  /// Store index of the bucket; zero where it does not exist.
  std::int64_t index() const { return index_; }
  /// Requests whose keys are to be registered.
  const std::vector<RequestId>& waiting() const { return waiting_; }
  /// Requests that did not run, so that their keys are free again.
  const std::vector<RequestId>& releases() const { return releases_; }
  /// The bucket that is being written.
  const std::optional<Shared<KeyBucket>>& written() const { return written_; }
  /// A call for the bucket is open.
  bool busy() const { return busy_; }
  /// The next call is not made before this time.
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

/// Builds one KeyBucketRow; what is not set keeps its default.
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
