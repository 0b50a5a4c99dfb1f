#include "standin/standin_worker.h"

#include <cstdlib>
#include <utility>

#include "adapters/node_loop.h"
#include "adapters/problem_json.h"
#include "messages/renew_work.h"
#include "messages/stop_work.h"
#include "messages/worker_task_found.h"
#include "wire/json_encoding.h"

namespace quetzalline {
namespace {

const char kEventsTarget[] = "/v1/news?after=";

HttpResponse JsonResponse(const boost::json::object& body) {
  return HttpResponse::Builder()
      .status(200)
      .body(Body(boost::json::serialize(body)))
      .Build();
}

boost::json::value ClockNow() { return ReadClock().time_since_epoch().count(); }

}  // namespace

StandinWorker::StandinWorker(boost::asio::io_context& io)
    : timer_(io),
      server_(
          io, HttpLimits(),
          [this](const HttpExchange& exchange) { HandleRequest(exchange); },
          [] {}) {}

void StandinWorker::HandleRequest(const HttpExchange& exchange) {
  if (exchange.request().method() == "GET") return HandleRead(exchange);
  HandleChange(exchange);
}

void StandinWorker::HandleRead(const HttpExchange& exchange) {
  const std::string& target = exchange.request().target();
  if (target == "/v1/tasks") {
    boost::json::array tasks;
    for (const auto& [id, task] : worker_.tasks()) {
      tasks.push_back(JsonEncoder::Encode(
          WorkerTaskFound::Builder().task(id).work(task.work()).Build()));
    }
    return exchange.Respond(
        JsonResponse({{"clock_us", ClockNow()}, {"tasks", tasks}}));
  }
  if (!target.starts_with(kEventsTarget)) {
    return exchange.Respond(ProblemResponse(404, "no such resource"));
  }
  const auto after =
      std::strtoull(target.c_str() + sizeof(kEventsTarget) - 1, nullptr, 10);
  const bool long_poll = target.ends_with("&wait=true");
  polls_.push_back({exchange, after, long_poll});
  RespondToPolls();
}

void StandinWorker::HandleChange(const HttpExchange& exchange) {
  const bool good = ApplyChange(exchange.request().target(),
                                exchange.request().body().bytes());
  if (!good) return exchange.Respond(ProblemResponse(400, "malformed"));
  exchange.Respond(JsonResponse({}));
  AdvanceWorker();
}

bool StandinWorker::ApplyChange(const std::string& target,
                                const std::string& body) {
  JsonDecoder decoder;
  if (target == "/v1/starts") {
    const auto start = decoder.DecodeText<StartWork>(body);
    if (start) worker_.Start(*start, ReadClock());
    return start.has_value();
  }
  if (target == "/v1/stops") {
    const auto stop = decoder.DecodeText<StopWork>(body);
    if (stop) worker_.Stop(stop->task(), ReadClock());
    return stop.has_value();
  }
  if (target == "/v1/lease") {
    const auto renew = decoder.DecodeText<RenewWork>(body);
    if (renew) worker_.Renew(renew->until());
    return renew.has_value();
  }
  const auto faults = decoder.DecodeText<WorkerFaults>(body);
  if (target != "/faults" || !faults) return false;
  worker_.SetFaults(*faults);
  return true;
}

void StandinWorker::AdvanceWorker() {
  for (const WorkerTaskEvent& event : worker_.DrainNews(ReadClock())) {
    events_.push_back(event);
  }
  RespondToPolls();
  const std::optional<Instant> next = worker_.NextNewsTime();
  if (!next) return;
  timer_.expires_after(
      std::max(*next - ReadClock(), Duration(std::chrono::milliseconds(1))));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) AdvanceWorker();
  });
}

// The first poll of an agent gets a response at once, so that the agent learns
// the current state; later polls wait for an event (long polling).
void StandinWorker::RespondToPolls() {
  std::vector<Poll> waiting;
  for (const Poll& poll : std::exchange(polls_, {})) {
    if (poll.long_poll_ && poll.after_ >= events_.size()) {
      waiting.push_back(poll);
      continue;
    }
    boost::json::array events;
    for (std::size_t i = poll.after_; i < events_.size(); ++i) {
      events.push_back(JsonEncoder::Encode(events_[i]));
    }
    poll.exchange_.Respond(
        JsonResponse({{"clock_us", ClockNow()}, {"news", events}}));
  }
  polls_ = waiting;
}

}  // namespace quetzalline
