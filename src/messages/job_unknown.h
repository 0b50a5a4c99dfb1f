#ifndef QUETZALLINE_MESSAGES_JOB_UNKNOWN_H_
#define QUETZALLINE_MESSAGES_JOB_UNKNOWN_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The job does not exist.
class JobUnknown {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-unknown";

  /// Ticket of the request that this replies to.
  std::uint64_t ticket() const { return ticket_; }

  friend auto operator<=>(const JobUnknown&, const JobUnknown&) = default;

 private:
  QUETZALLINE_VALUE(JobUnknown, ticket_)

  std::uint64_t ticket_ = 0;
};

/// Builds a JobUnknown; fields that are not set keep their defaults.
class JobUnknown::Builder : public ValueBuilder<JobUnknown, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_UNKNOWN_H_
