#ifndef QUETZALLINE_MESSAGES_ANSWER_JOB_CALL_H_
#define QUETZALLINE_MESSAGES_ANSWER_JOB_CALL_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "messages/job_answer.h"

namespace quetzalline {

/// Answers a caller's request about a job.
class AnswerJobCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "answer-job-call";

  /// Ticket of the JobCall.
  std::uint64_t ticket() const { return ticket_; }
  const JobAnswer& answer() const { return answer_; }

  friend auto operator<=>(const AnswerJobCall&, const AnswerJobCall&) = default;

 private:
  QUETZALLINE_VALUE(AnswerJobCall, ticket_, answer_)

  std::uint64_t ticket_ = 0;
  JobAnswer answer_;
};

/// Builds an AnswerJobCall; fields that are not set keep their defaults.
class AnswerJobCall::Builder : public ValueBuilder<AnswerJobCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& answer(JobAnswer value) {
    return Set(value_.answer_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ANSWER_JOB_CALL_H_
