#ifndef QUETZALLINE_MESSAGES_STORE_WRITTEN_H_
#define QUETZALLINE_MESSAGES_STORE_WRITTEN_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The write took effect.
class StoreWritten {
 public:
  class Builder;

  static constexpr std::string_view kName = "store-written";

  /// Store index of the write.
  std::int64_t index() const { return index_; }

  friend auto operator<=>(const StoreWritten&, const StoreWritten&) = default;

 private:
  QUETZALLINE_VALUE(StoreWritten, index_)

  std::int64_t index_ = 0;
};

/// Builds a StoreWritten; fields that are not set keep their defaults.
class StoreWritten::Builder : public ValueBuilder<StoreWritten, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& index(std::int64_t value) { return Set(value_.index_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STORE_WRITTEN_H_
