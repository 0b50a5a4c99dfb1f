#ifndef QUETZALLINE_MESSAGES_SUBMIT_JOB_REQUEST_H_
#define QUETZALLINE_MESSAGES_SUBMIT_JOB_REQUEST_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "records/job_record.h"

namespace quetzalline {

/// An entry submits a job to the holder on behalf of a caller.
class SubmitJobRequest {
 public:
  class Builder;

  static constexpr std::string_view kName = "hand-in-job";

  /// Ticket of the caller's JobCall; the reply repeats it.
  std::uint64_t ticket() const { return ticket_; }
  /// Job id that the caller chose.
  std::uint64_t job() const { return job_; }
  const JobRecord& record() const { return record_; }

  friend auto operator<=>(const SubmitJobRequest&,
                          const SubmitJobRequest&) = default;

 private:
  QUETZALLINE_VALUE(SubmitJobRequest, ticket_, job_, record_)

  std::uint64_t ticket_ = 0;
  std::uint64_t job_ = 0;
  JobRecord record_;
};

/// Builds a SubmitJobRequest; fields that are not set keep their defaults.
class SubmitJobRequest::Builder
    : public ValueBuilder<SubmitJobRequest, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& job(std::uint64_t value) { return Set(value_.job_, value); }
  Builder& record(JobRecord value) {
    return Set(value_.record_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_SUBMIT_JOB_REQUEST_H_
