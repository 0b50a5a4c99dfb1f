#ifndef QUETZALLINE_RECORDS_WAITING_H_
#define QUETZALLINE_RECORDS_WAITING_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The task waits for a worker.
class Waiting {
 public:
  class Builder;

  static constexpr std::string_view kName = "waiting";

  Instant since() const { return since_; }
  /// Checkpoint to resume from; empty to start anew.
  const std::string& checkpoint() const { return checkpoint_; }
  /// Placement passes the task over until then.
  Instant not_before() const { return not_before_; }

  friend auto operator<=>(const Waiting&, const Waiting&) = default;

 private:
  QUETZALLINE_VALUE(Waiting, since_, checkpoint_, not_before_)

  Instant since_ = Instant{};
  std::string checkpoint_;
  Instant not_before_ = Instant{};
};

/// Builds one Waiting; what is not set keeps its default.
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
