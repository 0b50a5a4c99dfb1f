#ifndef QUETZALLINE_MESSAGES_ENTRY_ALIVE_H_
#define QUETZALLINE_MESSAGES_ENTRY_ALIVE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// An entry answers the holder's sign of life.
class EntryAlive {
 public:
  class Builder;

  static constexpr std::string_view kName = "entry-alive";

  std::int64_t epoch() const { return epoch_; }

  friend auto operator<=>(const EntryAlive&, const EntryAlive&) = default;

 private:
  QUETZALLINE_VALUE(EntryAlive, epoch_)

  std::int64_t epoch_ = 0;
};

/// Builds one EntryAlive; what is not set keeps its default.
class EntryAlive::Builder : public ValueBuilder<EntryAlive, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ENTRY_ALIVE_H_
