#ifndef QUETZALLINE_TEST_SUPPORT_VIRTUAL_NODE_H_
#define QUETZALLINE_TEST_SUPPORT_VIRTUAL_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "support/event_queue.h"

namespace quetzalline {

/// One node in virtual time. It can be started, killed and paused; inputs that
/// come while it is paused wait, and those for a dead node are lost.
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
    paused_until_ = events_.now();
    Schedule();
  }

  void Kill() {
    ++generation_;
    node_.reset();
  }

  void PauseUntil(Instant time) { paused_until_ = time; }

  void Post(Input input) {
    if (!node_) return;
    inputs_.push_back(std::move(input));
    Schedule();
  }

  bool alive() const { return node_ != nullptr; }
  const Node& node() const { return *node_; }
  std::uint64_t generation() const { return generation_; }

 private:
  void Schedule() {
    if (scheduled_) return;
    scheduled_ = true;
    events_.At(std::max(events_.now(), paused_until_),
               [this, generation = generation_] {
                 if (generation == generation_) RunTick();
               });
  }

  void RunTick() {
    if (events_.now() < paused_until_) {
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
    // Like a real loop, a node does not wake for its own sake at once.
    constexpr Duration kShortestPause = std::chrono::microseconds(500);
    const Instant time = std::max(*wake_at, events_.now() + kShortestPause);
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
  Instant paused_until_{};
  std::uint64_t generation_ = 0;
  bool scheduled_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_VIRTUAL_NODE_H_
