#ifndef QUETZALLINE_TABLES_HOLDING_H_
#define QUETZALLINE_TABLES_HOLDING_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// This process holds the cell and places its work.
class Holding {
 public:
  class Builder;

  static constexpr std::string_view kName = "holding";

  /// Time at which it began to do so.
  Instant since() const { return since_; }

  friend auto operator<=>(const Holding&, const Holding&) = default;

 private:
  QUETZALLINE_VALUE(Holding, since_)

  Instant since_ = Instant{};
};

/// Builds a Holding; fields that are not set keep their defaults.
class Holding::Builder : public ValueBuilder<Holding, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& since(Instant value) { return Set(value_.since_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLDING_H_
