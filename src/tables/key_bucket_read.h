#ifndef QUETZALLINE_TABLES_KEY_BUCKET_READ_H_
#define QUETZALLINE_TABLES_KEY_BUCKET_READ_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The call reads a bucket of idempotency keys.
class KeyBucketRead {
 public:
  class Builder;

  static constexpr std::string_view kName = "key-bucket-read";

  std::int32_t bucket() const { return bucket_; }

  friend auto operator<=>(const KeyBucketRead&, const KeyBucketRead&) = default;

 private:
  QUETZALLINE_VALUE(KeyBucketRead, bucket_)

  std::int32_t bucket_ = 0;
};

/// Builds a KeyBucketRead; fields that are not set keep their defaults.
class KeyBucketRead::Builder : public ValueBuilder<KeyBucketRead, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& bucket(std::int32_t value) { return Set(value_.bucket_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_KEY_BUCKET_READ_H_
