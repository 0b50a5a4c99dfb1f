#ifndef QUETZALLINE_RECORDS_ASSIGNED_H_
#define QUETZALLINE_RECORDS_ASSIGNED_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/reason.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The assignment of the task to a worker is stored in the journal.
class Assigned {
 public:
  class Builder;

  static constexpr std::string_view kName = "assigned";

  /// Number of the attempt, from 1.
  std::int32_t attempt() const { return attempt_; }
  const EndpointId& endpoint() const { return endpoint_; }
  /// Time of the assignment, or of its load by a new holder.
  Instant since() const { return since_; }
  /// Checkpoint from which the attempt resumes; empty if there is none.
  const std::string& checkpoint() const { return checkpoint_; }
  /// True if the agent has reported the start.
  bool running() const { return running_; }
  /// Incarnation of the agent that reported the start.
  std::uint64_t incarnation() const { return incarnation_; }
  /// Time at which the start or stop command is sent again.
  Instant next_send() const { return next_send_; }
  /// Reason for which the task is being stopped; Reason::kNone if it is not.
  Reason stopping() const { return stopping_; }

  friend auto operator<=>(const Assigned&, const Assigned&) = default;

 private:
  QUETZALLINE_VALUE(Assigned, attempt_, endpoint_, since_, checkpoint_,
                    running_, incarnation_, next_send_, stopping_)

  std::int32_t attempt_ = 0;
  EndpointId endpoint_;
  Instant since_ = Instant{};
  std::string checkpoint_;
  bool running_ = false;
  std::uint64_t incarnation_ = 0;
  Instant next_send_ = Instant{};
  Reason stopping_ = Reason{};
};

/// Builds an Assigned; fields that are not set keep their defaults.
class Assigned::Builder : public ValueBuilder<Assigned, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& attempt(std::int32_t value) { return Set(value_.attempt_, value); }
  Builder& endpoint(EndpointId value) {
    return Set(value_.endpoint_, std::move(value));
  }
  Builder& since(Instant value) { return Set(value_.since_, value); }
  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
  Builder& running(bool value) { return Set(value_.running_, value); }
  Builder& incarnation(std::uint64_t value) {
    return Set(value_.incarnation_, value);
  }
  Builder& next_send(Instant value) { return Set(value_.next_send_, value); }
  Builder& stopping(Reason value) { return Set(value_.stopping_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_ASSIGNED_H_
