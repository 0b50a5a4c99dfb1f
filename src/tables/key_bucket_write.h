#ifndef QUETZALLINE_TABLES_KEY_BUCKET_WRITE_H_
#define QUETZALLINE_TABLES_KEY_BUCKET_WRITE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The call writes a bucket of idempotency keys.
class KeyBucketWrite {
 public:
  class Builder;

  static constexpr std::string_view kName = "key-bucket-write";

  std::int32_t bucket() const { return bucket_; }

  friend auto operator<=>(const KeyBucketWrite&,
                          const KeyBucketWrite&) = default;

 private:
  QUETZALLINE_VALUE(KeyBucketWrite, bucket_)

  std::int32_t bucket_ = 0;
};

/// Builds a KeyBucketWrite; fields that are not set keep their defaults.
class KeyBucketWrite::Builder : public ValueBuilder<KeyBucketWrite, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& bucket(std::int32_t value) { return Set(value_.bucket_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_KEY_BUCKET_WRITE_H_
