#ifndef QUETZALLINE_MESSAGES_KVS_WATCH_H_
#define QUETZALLINE_MESSAGES_KVS_WATCH_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Waits for changes under a prefix.
class KvsWatch {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-watch";

  /// Identifies the call; the KvsAnswer repeats it.
  std::uint64_t ticket() const { return ticket_; }
  const std::string& prefix() const { return prefix_; }
  /// Store revision after which changes are reported.
  std::int64_t after() const { return after_; }
  /// Longest time to wait for a change.
  Duration wait() const { return wait_; }

  friend auto operator<=>(const KvsWatch&, const KvsWatch&) = default;

 private:
  QUETZALLINE_VALUE(KvsWatch, ticket_, prefix_, after_, wait_)

  std::uint64_t ticket_ = 0;
  std::string prefix_;
  std::int64_t after_ = 0;
  Duration wait_ = Duration{};
};

/// Builds a KvsWatch; fields that are not set keep their defaults.
class KvsWatch::Builder : public ValueBuilder<KvsWatch, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& prefix(std::string value) {
    return Set(value_.prefix_, std::move(value));
  }
  Builder& after(std::int64_t value) { return Set(value_.after_, value); }
  Builder& wait(Duration value) { return Set(value_.wait_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_WATCH_H_
