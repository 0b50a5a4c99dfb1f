#ifndef QUETZALLINE_TEST_SUPPORT_VIRTUAL_NODE_H_
#define QUETZALLINE_TEST_SUPPORT_VIRTUAL_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "support/event_queue.h"

namespace quetzalline {

/// Runs a node in virtual time. The node can be started, killed and stalled.
/// Inputs that arrive while it is stalled are queued; inputs for a killed node
/// are lost.
template <typename Node>
class VirtualNode {
 public:
  using Input = typename Node::Input;
  using Effect = typename Node::Effect;
  using Perform = std::function<void(const Effect&)>;

  VirtualNode(EventQueue& events, Perform perform)
      : events_(events), perform_(std::move(perform)) {}

  void Start(Node node) {
    ++generation_;
    node_ = std::make_unique<Node>(std::move(node));
    inputs_.clear();
    scheduled_ = false;
    wake_at_.reset();
    stalled_until_ = events_.now();
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
  void Schedule() {
    if (scheduled_) return;
    scheduled_ = true;
    events_.At(std::max(events_.now(), stalled_until_),
               [this, generation = generation_] {
                 if (generation == generation_) RunTick();
               });
  }

  void RunTick() {
    if (events_.now() < stalled_until_) {
      scheduled_ = false;
      return Schedule();
    }
    scheduled_ = false;
    const std::vector<Input> inputs = std::exchange(inputs_, {});
    const std::vector<Effect> effects = node_->RunTick(events_.now(), inputs);
    const std::optional<Instant> wake_at = node_->wake_at();
    for (const Effect& effect : effects) perform_(effect);
    if (node_) ScheduleWake(wake_at);
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
  std::unique_ptr<Node> node_;
  std::vector<Input> inputs_;
  std::optional<Instant> wake_at_;
  Instant stalled_until_{};
  std::uint64_t generation_ = 0;
  bool scheduled_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_VIRTUAL_NODE_H_
