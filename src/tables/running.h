#ifndef QUETZALLINE_TABLES_RUNNING_H_
#define QUETZALLINE_TABLES_RUNNING_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The endpoint is processing the attempt.
class Running {
 public:
  class Builder;

  static constexpr std::string_view kName = "running";

  Instant since() const { return since_; }

  friend auto operator<=>(const Running&, const Running&) = default;

 private:
  QUETZALLINE_VALUE(Running, since_)

  Instant since_ = Instant{};
};

/// Builds a Running; fields that are not set keep their defaults.
class Running::Builder : public ValueBuilder<Running, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& since(Instant value) { return Set(value_.since_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_RUNNING_H_
