#ifndef QUETZALLINE_MESSAGES_JOB_WITHDRAWN_H_
#define QUETZALLINE_MESSAGES_JOB_WITHDRAWN_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The job is cancelled or had already ended; its final state is stored.
class JobWithdrawn {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-withdrawn";

  /// Ticket of the request that this replies to.
  std::uint64_t ticket() const { return ticket_; }

  friend auto operator<=>(const JobWithdrawn&, const JobWithdrawn&) = default;

 private:
  QUETZALLINE_VALUE(JobWithdrawn, ticket_)

  std::uint64_t ticket_ = 0;
};

/// Builds a JobWithdrawn; fields that are not set keep their defaults.
class JobWithdrawn::Builder : public ValueBuilder<JobWithdrawn, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_WITHDRAWN_H_
