#ifndef QUETZALLINE_MESSAGES_READ_JOB_STATE_H_
#define QUETZALLINE_MESSAGES_READ_JOB_STATE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// An entry requests the state of a job.
class ReadJobState {
 public:
  class Builder;

  static constexpr std::string_view kName = "read-job-state";

  /// Ticket of the caller's JobCall; the reply repeats it.
  std::uint64_t ticket() const { return ticket_; }
  std::uint64_t job() const { return job_; }

  friend auto operator<=>(const ReadJobState&, const ReadJobState&) = default;

 private:
  QUETZALLINE_VALUE(ReadJobState, ticket_, job_)

  std::uint64_t ticket_ = 0;
  std::uint64_t job_ = 0;
};

/// Builds a ReadJobState; fields that are not set keep their defaults.
class ReadJobState::Builder : public ValueBuilder<ReadJobState, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& job(std::uint64_t value) { return Set(value_.job_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_READ_JOB_STATE_H_
