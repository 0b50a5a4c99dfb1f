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

/// Starts a task on the worker, or says what a run there is that the runner
/// lists.
class StartRun {
 public:
  class Builder;

  static constexpr std::string_view kName = "start-run";

  const RunKey& run() const { return run_; }
  const Shared<std::string>& spec() const { return spec_; }
  const std::string& checkpoint() const { return checkpoint_; }
  /// Tail latency to hold; zero where the task has none.
  Duration target() const { return target_; }
  bool fills() const { return fills_; }
  /// The life of the worker that the order is meant for.
  std::int64_t born_ms() const { return born_ms_; }
  /// What the task runs; tasks of one image behave alike.
  const std::string& image() const { return image_; }
  /// Thousandths of a core that the task asks for.
  std::int64_t cpu() const { return cpu_; }
  std::int64_t memory_mb() const { return memory_mb_; }
  std::int64_t gpu() const { return gpu_; }
  /// Share of its speed that the task works at until its neighbours are seen to
  /// bear it.
  std::int32_t first_pace() const { return first_pace_; }

  friend auto operator<=>(const StartRun&, const StartRun&) = default;

 private:
  QUETZALLINE_VALUE(StartRun, run_, spec_, checkpoint_, target_, fills_,
                    born_ms_, image_, cpu_, memory_mb_, gpu_, first_pace_)

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
};

/// Builds one StartRun; what is not set keeps its default.
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
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_START_RUN_H_
