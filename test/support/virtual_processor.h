#ifndef QUETZALLINE_TEST_SUPPORT_VIRTUAL_PROCESSOR_H_
#define QUETZALLINE_TEST_SUPPORT_VIRTUAL_PROCESSOR_H_

#include <algorithm>
#include <compare>
#include <cstddef>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The processor time that a process takes for its ticks. Without a cost, ticks
/// take no time.
class ProcessorCost {
 public:
  class Builder;

  static constexpr std::string_view kName = "processor-cost";

  /// Time to handle one input.
  Duration input() const { return input_; }
  /// Time to carry out one effect, such as a message, a call or a log line.
  Duration effect() const { return effect_; }
  /// Number of inputs that a tick reads at most, as an event loop handles a
  /// limited number of events at a time; 0 for all that have arrived.
  std::size_t max_inputs() const { return max_inputs_; }

  friend auto operator<=>(const ProcessorCost&, const ProcessorCost&) = default;

 private:
  QUETZALLINE_VALUE(ProcessorCost, input_, effect_, max_inputs_)

  Duration input_{};
  Duration effect_{};
  std::size_t max_inputs_ = 0;
};

/// Builds a ProcessorCost; fields that are not set keep their defaults.
class ProcessorCost::Builder : public ValueBuilder<ProcessorCost, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& input(Duration value) { return Set(value_.input_, value); }
  Builder& effect(Duration value) { return Set(value_.effect_, value); }
  Builder& max_inputs(std::size_t value) {
    return Set(value_.max_inputs_, value);
  }
};

/// The processor of one process, which the nodes of the process share: one tick
/// runs at a time, and takes as long as its cost.
class VirtualProcessor {
 public:
  void SetCost(const ProcessorCost& cost) { cost_ = cost; }
  const ProcessorCost& cost() const { return cost_; }
  Instant free_at() const { return free_at_; }
  /// Returns the time of the longest tick so far.
  Duration longest_tick() const { return longest_tick_; }

  /// Occupies the processor for a tick that starts now. Returns the time that
  /// the tick takes.
  Duration Occupy(Instant now, std::size_t inputs, std::size_t effects) {
    const auto times = [](Duration time, std::size_t count) {
      return time * static_cast<Duration::rep>(count);
    };
    const Duration busy =
        times(cost_.input(), inputs) + times(cost_.effect(), effects);
    free_at_ = now + busy;
    longest_tick_ = std::max(longest_tick_, busy);
    return busy;
  }

  /// Makes the processor free, since its process was started anew.
  void Restart(Instant now) { free_at_ = now; }

 private:
  ProcessorCost cost_;
  Instant free_at_{};
  Duration longest_tick_{};
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_VIRTUAL_PROCESSOR_H_
