#ifndef QUETZALLINE_ADAPTERS_NODE_LOOP_H_
#define QUETZALLINE_ADAPTERS_NODE_LOOP_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "core/time.h"

namespace quetzalline {

/// Returns the current time of a monotonic clock that includes suspensions of
/// the instance.
Instant ReadClock();

/// Runs the ticks of a node on a single thread. Each tick receives all inputs
/// since the previous one, and the adapters execute its effects. A timer
/// triggers a tick at the time that the systems requested.
template <typename Node>
class NodeLoop {
 public:
  using Input = typename Node::Input;
  using Effect = typename Node::Effect;
  using Perform = std::function<void(const Effect&)>;

  NodeLoop(boost::asio::io_context& io, Node node, Perform perform)
      : io_(io),
        timer_(io),
        node_(std::move(node)),
        perform_(std::move(perform)) {}

  /// Adds an input to the next tick.
  void Post(Input input) {
    inputs_.push_back(std::move(input));
    Schedule();
  }

  /// Schedules a tick that needs no input, such as the first one.
  void Schedule() {
    if (scheduled_) return;
    scheduled_ = true;
    boost::asio::post(io_, [this] { RunTick(); });
  }

  const Node& node() const { return node_; }

 private:
  // Minimum delay before a tick that is triggered by the timer. Ticks that are
  // triggered by inputs are not delayed.
  static constexpr Duration kMinTimerDelay = std::chrono::microseconds(500);

  void RunTick() {
    scheduled_ = false;
    const std::vector<Input> inputs = std::exchange(inputs_, {});
    const std::vector<Effect> effects = node_.RunTick(ReadClock(), inputs);
    for (const Effect& effect : effects) perform_(effect);
    ArmTimer();
  }

  void ArmTimer() {
    const std::optional<Instant> wake_at = node_.wake_at();
    if (wake_at == armed_for_) return;
    armed_for_ = wake_at;
    if (!wake_at) {
      timer_.cancel();
      return;
    }
    timer_.expires_after(std::max(*wake_at - ReadClock(), kMinTimerDelay));
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      armed_for_.reset();
      Schedule();
    });
  }

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  Node node_;
  Perform perform_;
  std::vector<Input> inputs_;
  std::optional<Instant> armed_for_;
  bool scheduled_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_NODE_LOOP_H_
