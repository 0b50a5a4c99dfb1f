#ifndef QUETZALLINE_RECORDS_JOB_RECORD_H_
#define QUETZALLINE_RECORDS_JOB_RECORD_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/job_definition.h"
#include "core/job_queue.h"
#include "core/shared.h"
#include "core/value.h"

namespace quetzalline {

/// A job as it was accepted. It is written once.
class JobRecord {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-record";

  const Shared<JobDefinition>& definition() const { return definition_; }
  /// Time of acceptance in Unix milliseconds, by the clock of the process that
  /// accepted the job.
  std::int64_t accepted_ms() const { return accepted_ms_; }
  /// The queue's settings when the job was accepted. They hold for the job if
  /// the configuration no longer contains the queue. Records of earlier
  /// releases have the defaults.
  const Shared<JobQueue>& queue() const { return queue_; }

  friend auto operator<=>(const JobRecord&, const JobRecord&) = default;

 private:
  QUETZALLINE_VALUE(JobRecord, definition_, accepted_ms_, queue_)

  Shared<JobDefinition> definition_;
  std::int64_t accepted_ms_ = 0;
  Shared<JobQueue> queue_;
};

/// Builds a JobRecord; fields that are not set keep their defaults.
class JobRecord::Builder : public ValueBuilder<JobRecord, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& definition(Shared<JobDefinition> value) {
    return Set(value_.definition_, std::move(value));
  }
  Builder& accepted_ms(std::int64_t value) {
    return Set(value_.accepted_ms_, value);
  }
  Builder& queue(Shared<JobQueue> value) {
    return Set(value_.queue_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_JOB_RECORD_H_
