#ifndef QUETZALLINE_RECORDS_KEY_BUCKET_H_
#define QUETZALLINE_RECORDS_KEY_BUCKET_H_

#include <compare>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "records/registered_key.h"

namespace quetzalline {

/// The most recent idempotency keys of one bucket, oldest first.
class KeyBucket {
 public:
  class Builder;

  static constexpr std::string_view kName = "key-bucket";

  const std::vector<RegisteredKey>& keys() const { return keys_; }

  friend auto operator<=>(const KeyBucket&, const KeyBucket&) = default;

 private:
  QUETZALLINE_VALUE(KeyBucket, keys_)

  std::vector<RegisteredKey> keys_;
};

/// Builds a KeyBucket; fields that are not set keep their defaults.
class KeyBucket::Builder : public ValueBuilder<KeyBucket, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& keys(std::vector<RegisteredKey> value) {
    return Set(value_.keys_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_KEY_BUCKET_H_
