#ifndef QUETZALLINE_MESSAGES_ENTRY_ALIVE_H_
#define QUETZALLINE_MESSAGES_ENTRY_ALIVE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// An entry's reply to the holder's heartbeat.
class EntryAlive {
 public:
  class Builder;

  static constexpr std::string_view kName = "entry-alive";

  /// Epoch of the heartbeat.
  std::int64_t epoch() const { return epoch_; }

  friend auto operator<=>(const EntryAlive&, const EntryAlive&) = default;

 private:
  QUETZALLINE_VALUE(EntryAlive, epoch_)

  std::int64_t epoch_ = 0;
};

/// Builds an EntryAlive; fields that are not set keep their defaults.
class EntryAlive::Builder : public ValueBuilder<EntryAlive, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ENTRY_ALIVE_H_
