#ifndef QUETZALLINE_MESSAGES_ATTACH_ENTRY_H_
#define QUETZALLINE_MESSAGES_ATTACH_ENTRY_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Heartbeat of the holder of the cell's leader lease to an entry's gateway.
class AttachEntry {
 public:
  class Builder;

  static constexpr std::string_view kName = "attach-entry";

  /// Epoch of the holder.
  std::int64_t epoch() const { return epoch_; }

  friend auto operator<=>(const AttachEntry&, const AttachEntry&) = default;

 private:
  QUETZALLINE_VALUE(AttachEntry, epoch_)

  std::int64_t epoch_ = 0;
};

/// Builds an AttachEntry; fields that are not set keep their defaults.
class AttachEntry::Builder : public ValueBuilder<AttachEntry, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ATTACH_ENTRY_H_
