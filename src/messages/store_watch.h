#ifndef QUETZALLINE_MESSAGES_STORE_WATCH_H_
#define QUETZALLINE_MESSAGES_STORE_WATCH_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// Reads all keys under a prefix as soon as one of them has a higher index than
/// the given one.
class StoreWatch {
 public:
  class Builder;

  static constexpr std::string_view kName = "store-watch";

  /// Identifies the call; the StoreAnswer repeats it.
  std::uint64_t ticket() const { return ticket_; }
  const std::string& prefix() const { return prefix_; }
  /// Store index that a key must exceed.
  std::int64_t after() const { return after_; }

  friend auto operator<=>(const StoreWatch&, const StoreWatch&) = default;

 private:
  QUETZALLINE_VALUE(StoreWatch, ticket_, prefix_, after_)

  std::uint64_t ticket_ = 0;
  std::string prefix_;
  std::int64_t after_ = 0;
};

/// Builds a StoreWatch; fields that are not set keep their defaults.
class StoreWatch::Builder : public ValueBuilder<StoreWatch, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& prefix(std::string value) {
    return Set(value_.prefix_, std::move(value));
  }
  Builder& after(std::int64_t value) { return Set(value_.after_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STORE_WATCH_H_
