#ifndef QUETZALLINE_TEST_SUPPORT_FAKE_ENDPOINT_H_
#define QUETZALLINE_TEST_SUPPORT_FAKE_ENDPOINT_H_

#include <functional>
#include <map>

#include "core/tick.h"
#include "messages/call_ended.h"
#include "messages/call_endpoint.h"
#include "support/event_queue.h"
#include "support/invariant_log.h"

namespace quetzalline {

/// Configures the capacity, latency and failures of a FakeEndpoint.
struct EndpointBehaviour {
  /// Number of requests that may run at the same time.
  std::int32_t slots_ = 8;
  /// Mean service time, or the exact one if exponential_ is false.
  Duration service_time_ = std::chrono::milliseconds(10);
  /// Returns the factor by which service times grow at a given time, as under
  /// interference by other tasks on the instance. Empty means no slowdown.
  std::function<double(Instant)> slowdown_;
  /// Percentage of calls whose connection breaks before the response.
  int broken_percent_ = 0;
  /// Draws service times from an exponential distribution; otherwise they are
  /// fixed.
  bool exponential_ = true;
};

/// Simulates an endpoint with a fixed number of slots in virtual time. It
/// records each run in the log, and a violation if it receives more requests
/// than it has slots.
class FakeEndpoint {
 public:
  using OnEnded = std::function<void(const CallEnded&)>;

  FakeEndpoint(EventQueue& events, InvariantLog& log, EndpointId id,
               const EndpointBehaviour& behaviour, std::uint64_t seed);

  /// Runs the call and reports its result to on_ended.
  void Call(const CallEndpoint& call, OnEnded on_ended);
  /// Aborts the call of the attempt; on_ended is not called.
  void Abandon(const AttemptId& attempt);
  /// Aborts all calls, as when the agent's process dies.
  void AbandonAll();
  /// Stops the endpoint: running calls end as broken, later ones as not
  /// sent.
  void Kill();
  /// Accepts calls again after Kill.
  void Recover() { killed_ = false; }
  EndpointBehaviour& behaviour() { return behaviour_; }
  std::int32_t running() const {
    return static_cast<std::int32_t>(running_.size());
  }

 private:
  struct RunningCall {
    std::uint64_t serial_;
    CallEndpoint call_;
    OnEnded on_ended_;
  };

  Duration DrawServiceTime();
  void FinishCall(const AttemptId& attempt, std::uint64_t serial);
  CallResult ResultOf(const RunningCall& run);

  EventQueue& events_;
  InvariantLog& log_;
  EndpointId id_;
  EndpointBehaviour behaviour_;
  Random random_;
  std::map<AttemptId, RunningCall> running_;
  std::uint64_t last_serial_ = 0;
  bool killed_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_FAKE_ENDPOINT_H_
