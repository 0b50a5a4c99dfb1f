#ifndef QUETZALLINE_MESSAGES_JOB_STORED_H_
#define QUETZALLINE_MESSAGES_JOB_STORED_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The job is accepted and stored.
class JobStored {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-stored";

  /// Ticket of the request that this replies to.
  std::uint64_t ticket() const { return ticket_; }

  friend auto operator<=>(const JobStored&, const JobStored&) = default;

 private:
  QUETZALLINE_VALUE(JobStored, ticket_)

  std::uint64_t ticket_ = 0;
};

/// Builds a JobStored; fields that are not set keep their defaults.
class JobStored::Builder : public ValueBuilder<JobStored, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_STORED_H_
