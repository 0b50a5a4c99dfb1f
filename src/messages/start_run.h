#ifndef QUETZALLINE_MESSAGES_START_RUN_H_
#define QUETZALLINE_MESSAGES_START_RUN_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/run_key.h"
#include "core/shared.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Starts a run on the worker. For a run that the runner has already listed,
/// describes its task to the runner.
class StartRun {
 public:
  class Builder;

  static constexpr std::string_view kName = "start-run";

  const RunKey& run() const { return run_; }
  /// Specification of the task, which is passed to the worker unchanged.
  const Shared<std::string>& spec() const { return spec_; }
  /// Checkpoint to resume from; empty to start from the beginning.
  const std::string& checkpoint() const { return checkpoint_; }
  /// Target tail latency; zero if the task has none.
  Duration target() const { return target_; }
  /// True for a best-effort task.
  bool fills() const { return fills_; }
  /// Incarnation of the worker that the command is meant for: its start time in
  /// Unix milliseconds.
  std::int64_t born_ms() const { return born_ms_; }
  /// Program that the task runs; tasks of the same image are assumed to behave
  /// alike.
  const std::string& image() const { return image_; }
  /// CPU request in thousandths of a core.
  std::int64_t cpu() const { return cpu_; }
  /// Memory request in megabytes.
  std::int64_t memory_mb() const { return memory_mb_; }
  /// Number of requested GPUs.
  std::int64_t gpu() const { return gpu_; }
  /// Initial CPU rate limit, in percent of full speed. It applies until the
  /// tail latency of the services on the worker has stayed below target with
  /// it.
  std::int32_t first_pace() const { return first_pace_; }
  /// True for a suspect, which has to be seen to survive its start.
  bool isolated() const { return isolated_; }
  /// Number of the last WorkerReport that the holder had received when it
  /// decided on the run; 0 in commands of earlier releases.
  std::int64_t report() const { return report_; }

  friend auto operator<=>(const StartRun&, const StartRun&) = default;

 private:
  QUETZALLINE_VALUE(StartRun, run_, spec_, checkpoint_, target_, fills_,
                    born_ms_, image_, cpu_, memory_mb_, gpu_, first_pace_,
                    isolated_, report_)

  RunKey run_;
  Shared<std::string> spec_;
  std::string checkpoint_;
  Duration target_ = Duration{};
  bool fills_ = false;
  std::int64_t born_ms_ = 0;
  std::string image_;
  std::int64_t cpu_ = 0;
  std::int64_t memory_mb_ = 0;
  std::int64_t gpu_ = 0;
  std::int32_t first_pace_ = 100;
  bool isolated_ = false;
  std::int64_t report_ = 0;
};

/// Builds a StartRun; fields that are not set keep their defaults.
class StartRun::Builder : public ValueBuilder<StartRun, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& run(RunKey value) { return Set(value_.run_, std::move(value)); }
  Builder& spec(Shared<std::string> value) {
    return Set(value_.spec_, std::move(value));
  }
  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
  Builder& target(Duration value) { return Set(value_.target_, value); }
  Builder& fills(bool value) { return Set(value_.fills_, value); }
  Builder& born_ms(std::int64_t value) { return Set(value_.born_ms_, value); }
  Builder& image(std::string value) {
    return Set(value_.image_, std::move(value));
  }
  Builder& cpu(std::int64_t value) { return Set(value_.cpu_, value); }
  Builder& memory_mb(std::int64_t value) {
    return Set(value_.memory_mb_, value);
  }
  Builder& gpu(std::int64_t value) { return Set(value_.gpu_, value); }
  Builder& first_pace(std::int32_t value) {
    return Set(value_.first_pace_, value);
  }
  Builder& isolated(bool value) { return Set(value_.isolated_, value); }
  Builder& report(std::int64_t value) { return Set(value_.report_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_START_RUN_H_
