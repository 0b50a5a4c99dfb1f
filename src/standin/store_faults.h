#ifndef QUETZALLINE_STANDIN_STORE_FAULTS_H_
#define QUETZALLINE_STANDIN_STORE_FAULTS_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Faults to inject into an in-memory store.
class StoreFaults {
 public:
  class Builder;

  static constexpr std::string_view kName = "store-faults";

  /// Every call fails without effect.
  bool down() const { return down_; }
  /// Writes take effect, but are reported as failed.
  bool lose_answers() const { return lose_answers_; }
  /// Delay before a call takes effect.
  Duration delay() const { return delay_; }

  friend auto operator<=>(const StoreFaults&, const StoreFaults&) = default;

 private:
  QUETZALLINE_VALUE(StoreFaults, down_, lose_answers_, delay_)

  bool down_ = false;
  bool lose_answers_ = false;
  Duration delay_ = Duration{};
};

/// Builds a StoreFaults; fields that are not set keep their defaults.
class StoreFaults::Builder : public ValueBuilder<StoreFaults, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& down(bool value) { return Set(value_.down_, value); }
  Builder& lose_answers(bool value) { return Set(value_.lose_answers_, value); }
  Builder& delay(Duration value) { return Set(value_.delay_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_STANDIN_STORE_FAULTS_H_
