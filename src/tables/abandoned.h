#ifndef QUETZALLINE_TABLES_ABANDONED_H_
#define QUETZALLINE_TABLES_ABANDONED_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The exchange was given up, but the endpoint may still be at work, so the
/// slot stays taken.
class Abandoned {
 public:
  class Builder;

  static constexpr std::string_view kName = "abandoned";

  Instant until() const { return until_; }
  /// The entry has taken note of the outcome.
  bool acknowledged() const { return acknowledged_; }

  friend auto operator<=>(const Abandoned&, const Abandoned&) = default;

 private:
  QUETZALLINE_VALUE(Abandoned, until_, acknowledged_)

  Instant until_ = Instant{};
  bool acknowledged_ = false;
};

/// Builds one Abandoned; what is not set keeps its default.
class Abandoned::Builder : public ValueBuilder<Abandoned, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& until(Instant value) { return Set(value_.until_, value); }
  Builder& acknowledged(bool value) { return Set(value_.acknowledged_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ABANDONED_H_
