#ifndef QUETZALLINE_TABLES_QUEUED_H_
#define QUETZALLINE_TABLES_QUEUED_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The attempt waits for a slot.
class Queued {
 public:
  class Builder;

  static constexpr std::string_view kName = "queued";

  Instant since() const { return since_; }

  friend auto operator<=>(const Queued&, const Queued&) = default;

 private:
  QUETZALLINE_VALUE(Queued, since_)

  Instant since_ = Instant{};
};

/// Builds a Queued; fields that are not set keep their defaults.
class Queued::Builder : public ValueBuilder<Queued, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& since(Instant value) { return Set(value_.since_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_QUEUED_H_
