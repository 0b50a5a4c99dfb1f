#ifndef QUETZALLINE_TEST_SUPPORT_VIRTUAL_NODE_H_
#define QUETZALLINE_TEST_SUPPORT_VIRTUAL_NODE_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "support/event_queue.h"
#include "support/virtual_processor.h"

namespace quetzalline {

/// Runs a node in virtual time. The node can be started, killed and stalled.
/// Inputs that arrive while it is stalled, or while its processor is busy, are
/// queued; inputs for a killed node are lost. The effects of a tick are carried
/// out at its end.
template <typename Node>
class VirtualNode {
 public:
  using Input = typename Node::Input;
  using Effect = typename Node::Effect;
  using Perform = std::function<void(const Effect&)>;

  /// Nodes of one process share its processor.
  VirtualNode(EventQueue& events, Perform perform,
              std::shared_ptr<VirtualProcessor> processor =
                  std::make_shared<VirtualProcessor>())
      : events_(events),
        perform_(std::move(perform)),
        processor_(std::move(processor)) {}

  void Start(Node node) {
    ++generation_;
    node_ = std::make_unique<Node>(std::move(node));
    inputs_.clear();
    scheduled_ = false;
    wake_at_.reset();
    stalled_until_ = events_.now();
    processor_->Restart(events_.now());
    Schedule();
  }

  void Kill() {
    ++generation_;
    node_.reset();
  }

  /// Stalls the node until the time.
  void StallUntil(Instant time) { stalled_until_ = time; }

  void Post(Input input) {
    if (!node_) return;
    inputs_.push_back(std::move(input));
    Schedule();
  }

  bool alive() const { return node_ != nullptr; }
  const Node& node() const { return *node_; }
  /// Returns a number that changes with each start and kill, so that a late
  /// callback can be recognized as one of an earlier process.
  std::uint64_t generation() const { return generation_; }

 private:
  Instant RunnableAt() const {
    return std::max({events_.now(), stalled_until_, processor_->free_at()});
  }

  void Schedule() {
    if (scheduled_) return;
    scheduled_ = true;
    events_.At(RunnableAt(), [this, generation = generation_] {
      if (generation == generation_) RunTick();
    });
  }

  // Returns the inputs that the next tick reads. The others stay queued.
  std::vector<Input> ReadInputs() {
    const std::size_t limit = processor_->cost().max_inputs();
    if (limit == 0 || inputs_.size() <= limit) {
      return std::exchange(inputs_, {});
    }
    const auto end = inputs_.begin() + static_cast<std::ptrdiff_t>(limit);
    std::vector<Input> read(std::make_move_iterator(inputs_.begin()),
                            std::make_move_iterator(end));
    inputs_.erase(inputs_.begin(), end);
    return read;
  }

  void RunTick() {
    scheduled_ = false;
    if (events_.now() < RunnableAt()) return Schedule();
    const std::vector<Input> inputs = ReadInputs();
    std::vector<Effect> effects = node_->RunTick(events_.now(), inputs);
    const std::optional<Instant> wake_at = node_->wake_at();
    const Duration busy =
        processor_->Occupy(events_.now(), inputs.size(), effects.size());
    if (busy == Duration()) return FinishTick(effects, wake_at);
    events_.After(busy, [this, generation = generation_,
                         effects = std::move(effects), wake_at] {
      if (generation == generation_) FinishTick(effects, wake_at);
    });
  }

  void FinishTick(const std::vector<Effect>& effects,
                  std::optional<Instant> wake_at) {
    for (const Effect& effect : effects) perform_(effect);
    if (!node_) return;
    if (!inputs_.empty()) Schedule();
    ScheduleWake(wake_at);
  }

  void ScheduleWake(std::optional<Instant> wake_at) {
    if (!wake_at) return;
    // A real event loop needs some time between ticks, so a node that asks to
    // wake immediately is delayed.
    constexpr Duration kMinWakeDelay = std::chrono::microseconds(500);
    const Instant time = std::max(*wake_at, events_.now() + kMinWakeDelay);
    if (wake_at_ && *wake_at_ <= time && *wake_at_ > events_.now()) return;
    wake_at_ = time;
    events_.At(time, [this, generation = generation_, time] {
      if (generation != generation_ || wake_at_ != time) return;
      wake_at_.reset();
      Schedule();
    });
  }

  EventQueue& events_;
  Perform perform_;
  std::shared_ptr<VirtualProcessor> processor_;
  std::unique_ptr<Node> node_;
  std::vector<Input> inputs_;
  std::optional<Instant> wake_at_;
  Instant stalled_until_{};
  std::uint64_t generation_ = 0;
  bool scheduled_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_VIRTUAL_NODE_H_
