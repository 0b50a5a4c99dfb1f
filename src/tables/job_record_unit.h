#ifndef QUETZALLINE_TABLES_JOB_RECORD_UNIT_H_
#define QUETZALLINE_TABLES_JOB_RECORD_UNIT_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// The records of one job in a commit.
class JobRecordUnit {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-record-unit";

  /// Id of the job.
  std::uint64_t job() const { return job_; }

  friend auto operator<=>(const JobRecordUnit&, const JobRecordUnit&) = default;

 private:
  QUETZALLINE_VALUE(JobRecordUnit, job_)

  std::uint64_t job_ = 0;
};

/// Builds a JobRecordUnit; fields that are not set keep their defaults.
class JobRecordUnit::Builder : public ValueBuilder<JobRecordUnit, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& job(std::uint64_t value) { return Set(value_.job_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_JOB_RECORD_UNIT_H_
