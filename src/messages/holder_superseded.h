#ifndef QUETZALLINE_MESSAGES_HOLDER_SUPERSEDED_H_
#define QUETZALLINE_MESSAGES_HOLDER_SUPERSEDED_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The runner follows a holder of a higher epoch.
class HolderSuperseded {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-superseded";

  std::int64_t epoch() const { return epoch_; }

  friend auto operator<=>(const HolderSuperseded&,
                          const HolderSuperseded&) = default;

 private:
  QUETZALLINE_VALUE(HolderSuperseded, epoch_)

  std::int64_t epoch_ = 0;
};

/// Builds one HolderSuperseded; what is not set keeps its default.
class HolderSuperseded::Builder
    : public ValueBuilder<HolderSuperseded, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_HOLDER_SUPERSEDED_H_
