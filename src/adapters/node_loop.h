#ifndef QUETZALLINE_ADAPTERS_NODE_LOOP_H_
#define QUETZALLINE_ADAPTERS_NODE_LOOP_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
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
/// triggers a tick at the time that the systems requested. A tick that is late,
/// or that follows a long one, waits until all that has arrived is read, since
/// the systems would take what is still unread for silence.
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

  // A tick that takes longer, or starts later, may leave messages unread: the
  // loop handles a limited number of sockets at a time.
  static constexpr Duration kLate = std::chrono::milliseconds(20);
  // The loop has read all that had arrived once it has gone round twice without
  // a new input, as the handlers of one round run in the next.
  static constexpr int kQuietRounds = 2;
  // Bounds the delay while messages keep arriving.
  static constexpr int kMaxRounds = 100;

  void RunTick() {
    if (MustReadFirst()) {
      return boost::asio::post(io_, [this] { RunTick(); });
    }
    scheduled_ = false;
    const std::vector<Input> inputs = std::exchange(inputs_, {});
    const Instant start = ReadClock();
    const std::vector<Effect> effects = node_.RunTick(start, inputs);
    for (const Effect& effect : effects) perform_(effect);
    behind_ = ReadClock() - start > kLate;
    ArmTimer();
  }

  // Returns true if the tick has to wait for what may be unread.
  bool MustReadFirst() {
    const std::optional<Instant> wake_at = node_.wake_at();
    if (!behind_ && wake_at) behind_ = ReadClock() - *wake_at > kLate;
    if (!behind_) return false;
    quiet_rounds_ = inputs_.size() == known_inputs_ ? quiet_rounds_ + 1 : 0;
    known_inputs_ = inputs_.size();
    if (quiet_rounds_ < kQuietRounds && ++rounds_ < kMaxRounds) return true;
    rounds_ = 0;
    quiet_rounds_ = 0;
    known_inputs_ = 0;
    return false;
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
  // True if messages may lie unread.
  bool behind_ = false;
  // Rounds of the event loop for which the next tick has waited, those of them
  // without a new input, and the number of inputs after the last one.
  int rounds_ = 0;
  int quiet_rounds_ = 0;
  std::size_t known_inputs_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_NODE_LOOP_H_
