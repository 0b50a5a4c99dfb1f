#ifndef QUETZALLINE_MESSAGES_JOB_REFUSED_H_
#define QUETZALLINE_MESSAGES_JOB_REFUSED_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/reason.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The job was refused and never runs.
class JobRefused {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-refused";

  /// Ticket of the request that this replies to.
  std::uint64_t ticket() const { return ticket_; }
  Reason reason() const { return reason_; }
  /// Time that the caller should wait before it retries.
  Duration retry_after() const { return retry_after_; }

  friend auto operator<=>(const JobRefused&, const JobRefused&) = default;

 private:
  QUETZALLINE_VALUE(JobRefused, ticket_, reason_, retry_after_)

  std::uint64_t ticket_ = 0;
  Reason reason_ = Reason{};
  Duration retry_after_ = Duration{};
};

/// Builds a JobRefused; fields that are not set keep their defaults.
class JobRefused::Builder : public ValueBuilder<JobRefused, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& reason(Reason value) { return Set(value_.reason_, value); }
  Builder& retry_after(Duration value) {
    return Set(value_.retry_after_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_REFUSED_H_
