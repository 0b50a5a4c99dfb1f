#include "support/fake_endpoint.h"

#include <random>
#include <string>
#include <utility>

namespace quetzalline {
namespace {

constexpr int kPercent = 100;

// Returns the response body. It names the idempotency key of the request, or
// else its id, so that the log can detect a response to another request.
std::string ResponseText(const CallEndpoint& call) {
  for (const Header& header : call.request()->headers()) {
    if (header.name() == "Idempotency-Key") return "key " + header.value();
  }
  const RequestId& id = call.attempt().request();
  return "request " + std::to_string(id.origin()) + "-" +
         std::to_string(id.sequence());
}

}  // namespace

FakeEndpoint::FakeEndpoint(EventQueue& events, InvariantLog& log, EndpointId id,
                           const EndpointBehaviour& behaviour,
                           std::uint64_t seed)
    : events_(events),
      log_(log),
      id_(std::move(id)),
      behaviour_(behaviour),
      random_(seed) {}

Duration FakeEndpoint::DrawServiceTime() {
  double factor = 1.0;
  if (behaviour_.exponential_) {
    factor = std::exponential_distribution<double>(1.0)(random_);
  }
  if (behaviour_.slowdown_) factor *= behaviour_.slowdown_(events_.now());
  const auto mean = static_cast<double>(behaviour_.service_time_.count());
  return Duration(static_cast<std::int64_t>(mean * factor) + 1);
}

void FakeEndpoint::Call(const CallEndpoint& call, OnEnded on_ended) {
  const AttemptId attempt = call.attempt();
  if (killed_) {
    on_ended(
        CallEnded::Builder().attempt(attempt).result(CallNotSent()).Build());
    return;
  }
  log_.RequestStarted(attempt.request(), id_);
  const std::uint64_t serial = ++last_serial_;
  running_.insert_or_assign(attempt,
                            RunningCall{serial, call, std::move(on_ended)});
  if (running() > behaviour_.slots_) {
    log_.Fail("endpoint " + id_.value() +
              " runs more requests than it has slots");
  }
  events_.After(DrawServiceTime(),
                [this, attempt, serial] { FinishCall(attempt, serial); });
}

CallResult FakeEndpoint::ResultOf(const RunningCall& run) {
  if (UniformInt(random_, kPercent - 1) < behaviour_.broken_percent_) {
    return CallBroken::Builder().reason(Reason::kEndpointBroke).Build();
  }
  const HttpResponse response = HttpResponse::Builder()
                                    .status(200)
                                    .body(Body(ResponseText(run.call_)))
                                    .Build();
  return CallCompleted::Builder().response(response).Build();
}

void FakeEndpoint::FinishCall(const AttemptId& attempt, std::uint64_t serial) {
  const auto found = running_.find(attempt);
  if (found == running_.end() || found->second.serial_ != serial) return;
  const RunningCall run = found->second;
  running_.erase(found);
  log_.RequestEnded(attempt.request(), id_);
  run.on_ended_(
      CallEnded::Builder().attempt(attempt).result(ResultOf(run)).Build());
}

void FakeEndpoint::Abandon(const AttemptId& attempt) {
  if (running_.erase(attempt) > 0) log_.RequestEnded(attempt.request(), id_);
}

void FakeEndpoint::AbandonAll() {
  for (const auto& [attempt, run] : std::exchange(running_, {})) {
    log_.RequestEnded(attempt.request(), id_);
  }
}

void FakeEndpoint::Kill() {
  killed_ = true;
  for (const auto& [attempt, run] : std::exchange(running_, {})) {
    log_.RequestEnded(attempt.request(), id_);
    run.on_ended_(
        CallEnded::Builder()
            .attempt(attempt)
            .result(
                CallBroken::Builder().reason(Reason::kEndpointBroke).Build())
            .Build());
  }
}

}  // namespace quetzalline
