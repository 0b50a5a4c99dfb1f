#ifndef QUETZALLINE_TEST_SUPPORT_FAKE_ENDPOINT_H_
#define QUETZALLINE_TEST_SUPPORT_FAKE_ENDPOINT_H_

#include <functional>
#include <map>

#include "core/tick.h"
#include "messages/call_ended.h"
#include "messages/call_endpoint.h"
#include "support/event_queue.h"
#include "support/promise_log.h"

namespace quetzalline {

/// How a fake endpoint behaves.
struct EndpointBehaviour {
  std::int32_t slots_ = 8;
  Duration service_time_ = std::chrono::milliseconds(10);
  /// Multiplies the service time at a moment, as a noisy neighbour does.
  std::function<double(Instant)> slowdown_;
  /// Share of calls whose exchange breaks in the middle, in percent.
  int broken_percent_ = 0;
  /// Draws service times from an exponential distribution, else fixed.
  bool exponential_ = true;
};

/// An endpoint in virtual time with a number of slots. It notes each run in the
/// promise log, and a breach when it gets more than its slots hold.
class FakeEndpoint {
 public:
  using OnEnded = std::function<void(const CallEnded&)>;

  FakeEndpoint(EventQueue& events, PromiseLog& log, EndpointId id,
               const EndpointBehaviour& behaviour, std::uint64_t seed);

  void Call(const CallEndpoint& call, OnEnded on_ended);
  /// The exchange was given up; the endpoint notices and stops.
  void Abandon(const AttemptId& attempt);
  /// Every exchange was given up, as when the agent dies.
  void AbandonAll();
  /// The endpoint dies: exchanges break, new ones are not taken.
  void Kill();
  void Revive() { dead_ = false; }
  EndpointBehaviour& behaviour() { return behaviour_; }
  std::int32_t running() const {
    return static_cast<std::int32_t>(running_.size());
  }

 private:
  struct Run {
    std::uint64_t serial_;
    CallEndpoint call_;
    OnEnded on_ended_;
  };

  Duration DrawServiceTime();
  void End(const AttemptId& attempt, std::uint64_t serial);
  CallResult ResultOf(const Run& run);

  EventQueue& events_;
  PromiseLog& log_;
  EndpointId id_;
  EndpointBehaviour behaviour_;
  Random random_;
  std::map<AttemptId, Run> running_;
  std::uint64_t last_serial_ = 0;
  bool dead_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_FAKE_ENDPOINT_H_
