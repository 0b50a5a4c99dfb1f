#ifndef QUETZALLINE_TABLES_HOLDER_ACTING_H_
#define QUETZALLINE_TABLES_HOLDER_ACTING_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The process holds the cell and places work.
class HolderActing {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-acting";

  Instant since() const { return since_; }

  friend auto operator<=>(const HolderActing&, const HolderActing&) = default;

 private:
  QUETZALLINE_VALUE(HolderActing, since_)

  Instant since_ = Instant{};
};

/// Builds a HolderActing; fields that are not set keep their defaults.
class HolderActing::Builder : public ValueBuilder<HolderActing, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& since(Instant value) { return Set(value_.since_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLDER_ACTING_H_
