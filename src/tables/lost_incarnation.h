#ifndef QUETZALLINE_TABLES_LOST_INCARNATION_H_
#define QUETZALLINE_TABLES_LOST_INCARNATION_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"
#include "core/value.h"
#include "messages/lost_run.h"

namespace quetzalline {

/// An incarnation of the worker that was lost, as its runner remembers it
/// until the holder has stored what follows.
class LostIncarnation {
 public:
  class Builder;

  static constexpr std::string_view kName = "lost-incarnation";

  /// Start time of the incarnation in Unix milliseconds.
  std::int64_t born_ms() const { return born_ms_; }
  /// Time of the first call that it did not answer any more.
  Instant lost_at() const { return lost_at_; }
  /// Runs that the incarnation may have started.
  const std::vector<LostRun>& runs() const { return runs_; }

  friend auto operator<=>(const LostIncarnation&,
                          const LostIncarnation&) = default;

 private:
  QUETZALLINE_VALUE(LostIncarnation, born_ms_, lost_at_, runs_)

  std::int64_t born_ms_ = 0;
  Instant lost_at_ = Instant{};
  std::vector<LostRun> runs_;
};

/// Builds a LostIncarnation; fields that are not set keep their defaults.
class LostIncarnation::Builder : public ValueBuilder<LostIncarnation, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& born_ms(std::int64_t value) { return Set(value_.born_ms_, value); }
  Builder& lost_at(Instant value) { return Set(value_.lost_at_, value); }
  Builder& runs(std::vector<LostRun> value) {
    return Set(value_.runs_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_LOST_INCARNATION_H_
