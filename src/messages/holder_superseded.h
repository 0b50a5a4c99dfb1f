#ifndef QUETZALLINE_MESSAGES_HOLDER_SUPERSEDED_H_
#define QUETZALLINE_MESSAGES_HOLDER_SUPERSEDED_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The runner follows another holder, or a later session of the same one.
class HolderSuperseded {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-superseded";

  /// Epoch of the holder that the runner follows.
  std::int64_t epoch() const { return epoch_; }

  friend auto operator<=>(const HolderSuperseded&,
                          const HolderSuperseded&) = default;

 private:
  QUETZALLINE_VALUE(HolderSuperseded, epoch_)

  std::int64_t epoch_ = 0;
};

/// Builds a HolderSuperseded; fields that are not set keep their defaults.
class HolderSuperseded::Builder
    : public ValueBuilder<HolderSuperseded, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_HOLDER_SUPERSEDED_H_
