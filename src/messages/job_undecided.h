#ifndef QUETZALLINE_MESSAGES_JOB_UNDECIDED_H_
#define QUETZALLINE_MESSAGES_JOB_UNDECIDED_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The outcome of the request is unknown; the caller may repeat it.
class JobUndecided {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-undecided";

  /// Ticket of the request that this replies to.
  std::uint64_t ticket() const { return ticket_; }

  friend auto operator<=>(const JobUndecided&, const JobUndecided&) = default;

 private:
  QUETZALLINE_VALUE(JobUndecided, ticket_)

  std::uint64_t ticket_ = 0;
};

/// Builds a JobUndecided; fields that are not set keep their defaults.
class JobUndecided::Builder : public ValueBuilder<JobUndecided, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_UNDECIDED_H_
