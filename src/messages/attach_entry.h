#ifndef QUETZALLINE_MESSAGES_ATTACH_ENTRY_H_
#define QUETZALLINE_MESSAGES_ATTACH_ENTRY_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// A holder is there; repeated while it lives.
class AttachEntry {
 public:
  class Builder;

  static constexpr std::string_view kName = "attach-entry";

  std::int64_t epoch() const { return epoch_; }

  friend auto operator<=>(const AttachEntry&, const AttachEntry&) = default;

 private:
  QUETZALLINE_VALUE(AttachEntry, epoch_)

  std::int64_t epoch_ = 0;
};

/// Builds one AttachEntry; what is not set keeps its default.
class AttachEntry::Builder : public ValueBuilder<AttachEntry, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ATTACH_ENTRY_H_
