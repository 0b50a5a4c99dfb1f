#ifndef QUETZALLINE_MESSAGES_JOB_CALL_H_
#define QUETZALLINE_MESSAGES_JOB_CALL_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"
#include "messages/job_call_kind.h"

namespace quetzalline {

/// A caller's request about a job.
class JobCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-call";

  /// Identifies the request; the AnswerJobCall repeats it.
  std::uint64_t ticket() const { return ticket_; }
  /// Host header of the request.
  const std::string& host() const { return host_; }
  const std::string& path() const { return path_; }
  const JobCallKind& kind() const { return kind_; }
  /// Wall-clock time of arrival, in Unix milliseconds.
  std::int64_t unix_ms() const { return unix_ms_; }
  /// Time that the caller waits for the answer; zero if it gave none.
  Duration deadline() const { return deadline_; }

  friend auto operator<=>(const JobCall&, const JobCall&) = default;

 private:
  QUETZALLINE_VALUE(JobCall, ticket_, host_, path_, kind_, unix_ms_, deadline_)

  std::uint64_t ticket_ = 0;
  std::string host_;
  std::string path_;
  JobCallKind kind_;
  std::int64_t unix_ms_ = 0;
  Duration deadline_ = Duration{};
};

/// Builds a JobCall; fields that are not set keep their defaults.
class JobCall::Builder : public ValueBuilder<JobCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& host(std::string value) {
    return Set(value_.host_, std::move(value));
  }
  Builder& path(std::string value) {
    return Set(value_.path_, std::move(value));
  }
  Builder& kind(JobCallKind value) {
    return Set(value_.kind_, std::move(value));
  }
  Builder& unix_ms(std::int64_t value) { return Set(value_.unix_ms_, value); }
  Builder& deadline(Duration value) { return Set(value_.deadline_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_CALL_H_
