#ifndef QUETZALLINE_MESSAGES_CANCEL_JOB_REQUEST_H_
#define QUETZALLINE_MESSAGES_CANCEL_JOB_REQUEST_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// An entry cancels a job on behalf of a caller.
class CancelJobRequest {
 public:
  class Builder;

  static constexpr std::string_view kName = "withdraw-job";

  /// Ticket of the caller's JobCall; the reply repeats it.
  std::uint64_t ticket() const { return ticket_; }
  std::uint64_t job() const { return job_; }

  friend auto operator<=>(const CancelJobRequest&,
                          const CancelJobRequest&) = default;

 private:
  QUETZALLINE_VALUE(CancelJobRequest, ticket_, job_)

  std::uint64_t ticket_ = 0;
  std::uint64_t job_ = 0;
};

/// Builds a CancelJobRequest; fields that are not set keep their defaults.
class CancelJobRequest::Builder
    : public ValueBuilder<CancelJobRequest, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& job(std::uint64_t value) { return Set(value_.job_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CANCEL_JOB_REQUEST_H_
