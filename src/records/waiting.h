#ifndef QUETZALLINE_RECORDS_WAITING_H_
#define QUETZALLINE_RECORDS_WAITING_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The task waits for its assignment to a worker.
class Waiting {
 public:
  class Builder;

  static constexpr std::string_view kName = "waiting";

  /// Time since which the task has been waiting.
  Instant since() const { return since_; }
  /// Checkpoint from which the next attempt resumes; empty to start from the
  /// beginning.
  const std::string& checkpoint() const { return checkpoint_; }
  /// Time before which placement skips the task.
  Instant not_before() const { return not_before_; }

  friend auto operator<=>(const Waiting&, const Waiting&) = default;

 private:
  QUETZALLINE_VALUE(Waiting, since_, checkpoint_, not_before_)

  Instant since_ = Instant{};
  std::string checkpoint_;
  Instant not_before_ = Instant{};
};

/// Builds a Waiting; fields that are not set keep their defaults.
class Waiting::Builder : public ValueBuilder<Waiting, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& since(Instant value) { return Set(value_.since_, value); }
  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
  Builder& not_before(Instant value) { return Set(value_.not_before_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_WAITING_H_
