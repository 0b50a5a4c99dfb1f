#ifndef QUETZALLINE_MESSAGES_JOB_STATE_REPLY_H_
#define QUETZALLINE_MESSAGES_JOB_STATE_REPLY_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/job_state.h"
#include "core/value.h"

namespace quetzalline {

/// Returns the state of a job.
class JobStateReply {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-state-told";

  /// Ticket of the request that this replies to.
  std::uint64_t ticket() const { return ticket_; }
  JobState state() const { return state_; }

  friend auto operator<=>(const JobStateReply&, const JobStateReply&) = default;

 private:
  QUETZALLINE_VALUE(JobStateReply, ticket_, state_)

  std::uint64_t ticket_ = 0;
  JobState state_ = JobState{};
};

/// Builds a JobStateReply; fields that are not set keep their defaults.
class JobStateReply::Builder : public ValueBuilder<JobStateReply, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& state(JobState value) { return Set(value_.state_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_STATE_REPLY_H_
