#ifndef QUETZALLINE_RECORDS_FINISHED_H_
#define QUETZALLINE_RECORDS_FINISHED_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The task completed successfully.
class Finished {
 public:
  class Builder;

  static constexpr std::string_view kName = "finished";

  Instant at() const { return at_; }

  friend auto operator<=>(const Finished&, const Finished&) = default;

 private:
  QUETZALLINE_VALUE(Finished, at_)

  Instant at_ = Instant{};
};

/// Builds a Finished; fields that are not set keep their defaults.
class Finished::Builder : public ValueBuilder<Finished, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& at(Instant value) { return Set(value_.at_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_FINISHED_H_
