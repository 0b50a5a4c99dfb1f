#ifndef QUETZALLINE_MESSAGES_JOB_OUTCOME_UNKNOWN_H_
#define QUETZALLINE_MESSAGES_JOB_OUTCOME_UNKNOWN_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The outcome of the request is unknown; the caller may repeat it.
class JobOutcomeUnknown {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-undecided";

  /// Ticket of the request that this replies to.
  std::uint64_t ticket() const { return ticket_; }

  friend auto operator<=>(const JobOutcomeUnknown&,
                          const JobOutcomeUnknown&) = default;

 private:
  QUETZALLINE_VALUE(JobOutcomeUnknown, ticket_)

  std::uint64_t ticket_ = 0;
};

/// Builds a JobOutcomeUnknown; fields that are not set keep their defaults.
class JobOutcomeUnknown::Builder
    : public ValueBuilder<JobOutcomeUnknown, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_OUTCOME_UNKNOWN_H_
