#ifndef QUETZALLINE_CORE_JOB_STEP_H_
#define QUETZALLINE_CORE_JOB_STEP_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A group of identical tasks of a job, which may run in parallel.
class JobStep {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-step";

  /// Number of tasks in the step.
  std::int32_t count() const { return count_; }
  /// CPU request of each task, in thousandths of a core.
  std::int64_t cpu() const { return cpu_; }
  /// Memory request of each task, in MB.
  std::int64_t memory_mb() const { return memory_mb_; }
  /// Number of GPUs that each task requests.
  std::int64_t gpu() const { return gpu_; }
  /// Declared run time of one task; often inaccurate.
  Duration estimate() const { return estimate_; }
  /// Indexes of earlier steps of the job that must complete first.
  const std::vector<std::int32_t>& after() const { return after_; }
  /// True if a stopped task resumes from its checkpoint.
  bool checkpoints() const { return checkpoints_; }
  /// True if the tasks make progress only while all of them run (gang
  /// scheduling).
  bool gang() const { return gang_; }
  /// True if the tasks run slower when they are spread over several racks.
  bool same_rack() const { return same_rack_; }
  /// Label that the worker must have; empty if any worker is suitable.
  const std::string& required_label() const { return required_label_; }
  /// Rack that holds the input data; empty if there is none.
  const std::string& data_rack() const { return data_rack_; }
  /// Maximum number of tasks of the step on one worker; 0 for no limit.
  std::int32_t most_per_worker() const { return most_per_worker_; }
  /// True if redundant copies of a task may run in parallel.
  bool speculative() const { return speculative_; }
  /// True if the tasks run until the job is cancelled (long-running service).
  bool long_running() const { return long_running_; }
  /// Image that the tasks run. Interference is learned per image, as tasks of
  /// one image behave alike.
  const std::string& image() const { return image_; }
  /// Tail latency target for the requests that the tasks serve; zero if they
  /// serve none.
  Duration target() const { return target_; }
  /// True for best-effort tasks. They use CPU time that other tasks leave idle,
  /// which does not count against the capacity of the worker.
  bool fills() const { return fills_; }
  /// Maximum number of tasks of the step that planned actions may keep from
  /// running at the same time; 0 if the step states no limit.
  std::int32_t may_miss() const { return may_miss_; }

  friend auto operator<=>(const JobStep&, const JobStep&) = default;

 private:
  QUETZALLINE_VALUE(JobStep, count_, cpu_, memory_mb_, gpu_, estimate_, after_,
                    checkpoints_, gang_, same_rack_, required_label_,
                    data_rack_, most_per_worker_, speculative_, long_running_,
                    image_, target_, fills_, may_miss_)

  std::int32_t count_ = 0;
  std::int64_t cpu_ = 0;
  std::int64_t memory_mb_ = 0;
  std::int64_t gpu_ = 0;
  Duration estimate_ = Duration{};
  std::vector<std::int32_t> after_;
  bool checkpoints_ = false;
  bool gang_ = false;
  bool same_rack_ = false;
  std::string required_label_;
  std::string data_rack_;
  std::int32_t most_per_worker_ = 0;
  bool speculative_ = false;
  bool long_running_ = false;
  std::string image_;
  Duration target_ = Duration{};
  bool fills_ = false;
  std::int32_t may_miss_ = 0;
};

/// Builds a JobStep; fields that are not set keep their defaults.
class JobStep::Builder : public ValueBuilder<JobStep, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& count(std::int32_t value) { return Set(value_.count_, value); }
  Builder& cpu(std::int64_t value) { return Set(value_.cpu_, value); }
  Builder& memory_mb(std::int64_t value) {
    return Set(value_.memory_mb_, value);
  }
  Builder& gpu(std::int64_t value) { return Set(value_.gpu_, value); }
  Builder& estimate(Duration value) { return Set(value_.estimate_, value); }
  Builder& after(std::vector<std::int32_t> value) {
    return Set(value_.after_, std::move(value));
  }
  Builder& checkpoints(bool value) { return Set(value_.checkpoints_, value); }
  Builder& gang(bool value) { return Set(value_.gang_, value); }
  Builder& same_rack(bool value) { return Set(value_.same_rack_, value); }
  Builder& required_label(std::string value) {
    return Set(value_.required_label_, std::move(value));
  }
  Builder& data_rack(std::string value) {
    return Set(value_.data_rack_, std::move(value));
  }
  Builder& most_per_worker(std::int32_t value) {
    return Set(value_.most_per_worker_, value);
  }
  Builder& speculative(bool value) { return Set(value_.speculative_, value); }
  Builder& long_running(bool value) { return Set(value_.long_running_, value); }
  Builder& image(std::string value) {
    return Set(value_.image_, std::move(value));
  }
  Builder& target(Duration value) { return Set(value_.target_, value); }
  Builder& fills(bool value) { return Set(value_.fills_, value); }
  Builder& may_miss(std::int32_t value) { return Set(value_.may_miss_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_JOB_STEP_H_
