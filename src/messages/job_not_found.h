#ifndef QUETZALLINE_MESSAGES_JOB_NOT_FOUND_H_
#define QUETZALLINE_MESSAGES_JOB_NOT_FOUND_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The job does not exist.
class JobNotFound {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-unknown";

  /// Ticket of the request that this replies to.
  std::uint64_t ticket() const { return ticket_; }

  friend auto operator<=>(const JobNotFound&, const JobNotFound&) = default;

 private:
  QUETZALLINE_VALUE(JobNotFound, ticket_)

  std::uint64_t ticket_ = 0;
};

/// Builds a JobNotFound; fields that are not set keep their defaults.
class JobNotFound::Builder : public ValueBuilder<JobNotFound, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_NOT_FOUND_H_
