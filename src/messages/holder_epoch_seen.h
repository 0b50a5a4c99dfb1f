#ifndef QUETZALLINE_MESSAGES_HOLDER_EPOCH_SEEN_H_
#define QUETZALLINE_MESSAGES_HOLDER_EPOCH_SEEN_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The epoch of the holder that the store shows. The scheduler of a process
/// passes it to the runner of the same process, which then follows no holder of
/// an earlier epoch.
class HolderEpochSeen {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-epoch-seen";

  std::int64_t epoch() const { return epoch_; }

  friend auto operator<=>(const HolderEpochSeen&,
                          const HolderEpochSeen&) = default;

 private:
  QUETZALLINE_VALUE(HolderEpochSeen, epoch_)

  std::int64_t epoch_ = 0;
};

/// Builds a HolderEpochSeen; fields that are not set keep their defaults.
class HolderEpochSeen::Builder : public ValueBuilder<HolderEpochSeen, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_HOLDER_EPOCH_SEEN_H_
