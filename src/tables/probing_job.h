#ifndef QUETZALLINE_TABLES_PROBING_JOB_H_
#define QUETZALLINE_TABLES_PROBING_JOB_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "tables/caller_waiting.h"

namespace quetzalline {

/// Reads whether a job that the holder does not know is stored.
class ProbingJob {
 public:
  class Builder;

  static constexpr std::string_view kName = "probing-job";

  /// The caller that waits for the answer.
  const CallerWaiting& caller() const { return caller_; }

  friend auto operator<=>(const ProbingJob&, const ProbingJob&) = default;

 private:
  QUETZALLINE_VALUE(ProbingJob, caller_)

  CallerWaiting caller_;
};

/// Builds a ProbingJob; fields that are not set keep their defaults.
class ProbingJob::Builder : public ValueBuilder<ProbingJob, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& caller(CallerWaiting value) {
    return Set(value_.caller_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_PROBING_JOB_H_
