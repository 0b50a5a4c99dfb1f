#ifndef QUETZALLINE_MESSAGES_JOB_STORED_H_
#define QUETZALLINE_MESSAGES_JOB_STORED_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The job is accepted and kept.
class JobStored {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-stored";

  std::uint64_t ticket() const { return ticket_; }

  friend auto operator<=>(const JobStored&, const JobStored&) = default;

 private:
  QUETZALLINE_VALUE(JobStored, ticket_)

  std::uint64_t ticket_ = 0;
};

/// Builds one JobStored; what is not set keeps its default.
class JobStored::Builder : public ValueBuilder<JobStored, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_STORED_H_
