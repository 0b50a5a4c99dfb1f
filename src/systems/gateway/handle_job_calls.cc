#include "systems/gateway/handle_job_calls.h"

#include <algorithm>
#include <set>

#include "core/overloaded.h"
#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/gateway/validate_job.h"

namespace quetzalline {
namespace {

// Time left before the caller's deadline when it is notified that the outcome
// is unknown.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(150);

void SendAnswer(std::uint64_t ticket, const JobAnswer& answer,
                GatewayTick& tick) {
  tick.Emit(AnswerJobCall::Builder().ticket(ticket).answer(answer).Build());
}

void CloseCall(std::uint64_t ticket, GatewayTables& tables) {
  tables.calls_.Erase(ticket);
  tables.expiries_.Clear(ticket);
}

// Returns the queue of the call's host with the longest prefix that matches the
// call's path; null if there is none.
const JobQueue* FindQueue(const JobCall& call, const GatewayTables& tables) {
  const JobQueue* best = nullptr;
  for (const JobQueue& queue : tables.configuration_.queues()) {
    if (queue.host() != call.host()) continue;
    if (call.path().compare(0, queue.prefix().size(), queue.prefix()) != 0) {
      continue;
    }
    if (best == nullptr || queue.prefix().size() > best->prefix().size()) {
      best = &queue;
    }
  }
  return best;
}

// Returns the connection to the connected holder of the highest epoch.
std::optional<ConnectionId> CurrentHolder(const GatewayTables& tables) {
  std::optional<ConnectionId> best;
  std::int64_t epoch = 0;
  for (const auto& [connection, link] : tables.holders_) {
    if (link.epoch() <= epoch) continue;
    best = connection;
    epoch = link.epoch();
  }
  return best;
}

void RefuseCall(const JobCall& call, std::uint64_t job, Reason reason,
                GatewayTables& tables, GatewayTick& tick) {
  const Duration min_delay = tables.policy_.retry_after();
  const Duration retry_after =
      min_delay + Duration(UniformInt(tick.random(), min_delay.count()));
  LogLine(tick, "call-refused", job,
          {Field("reason", reason), FieldMs("retry_after_ms", retry_after)});
  tick.counters().Add(Counter::kCommandsRefused, reason);
  SendAnswer(call.ticket(),
             JobRefused::Builder()
                 .ticket(call.ticket())
                 .reason(reason)
                 .retry_after(retry_after)
                 .Build(),
             tick);
}

HolderMessage ToHolderMessage(const JobCall& call, std::uint64_t job,
                              const JobQueue& queue) {
  return std::visit(Overloaded{
                        [&](const SubmitCall& submit) -> HolderMessage {
                          const JobDefinition definition =
                              JobDefinition::Builder(**submit.definition())
                                  .queue(queue.name())
                                  .Build();
                          return SubmitJobRequest::Builder()
                              .ticket(call.ticket())
                              .job(job)
                              .record(JobRecord::Builder()
                                          .definition(definition)
                                          .accepted_ms(call.unix_ms())
                                          .queue(queue)
                                          .Build())
                              .Build();
                        },
                        [&](const ReadCall&) -> HolderMessage {
                          if (job == 0) {
                            return ReadPendingCount::Builder()
                                .ticket(call.ticket())
                                .queue(queue.name())
                                .Build();
                          }
                          return ReadJobState::Builder()
                              .ticket(call.ticket())
                              .job(job)
                              .Build();
                        },
                        [&](const CancelCall&) -> HolderMessage {
                          return CancelJobRequest::Builder()
                              .ticket(call.ticket())
                              .job(job)
                              .Build();
                        },
                    },
                    call.kind());
}

void Forward(const JobCall& call, std::uint64_t job, const JobQueue& queue,
             GatewayTables& tables, GatewayTick& tick) {
  const std::optional<ConnectionId> holder = CurrentHolder(tables);
  if (!holder) {
    return RefuseCall(call, job, Reason::kNotHolder, tables, tick);
  }
  Duration timeout = tables.policy_.longest_call();
  if (call.deadline() > Duration()) {
    timeout = std::min(timeout, call.deadline() - kAnswerMargin);
  }
  const Instant expires_at = tick.now() + timeout;
  tables.calls_.Put(call.ticket(), GatewayCall::Builder()
                                       .call(call)
                                       .job(job)
                                       .queue(queue.name())
                                       .expires_at(expires_at)
                                       .connection(*holder)
                                       .Build());
  tables.expiries_.Set(call.ticket(), expires_at);
  tick.Emit(SendToHolder::Builder()
                .connection(*holder)
                .message(ToHolderMessage(call, job, queue))
                .Build());
}

// Returns the ticket of an answer; empty for messages that are not answers.
std::optional<std::uint64_t> TicketOf(const GatewayMessage& message) {
  return std::visit(
      [](const auto& content) -> std::optional<std::uint64_t> {
        if constexpr (requires { content.ticket(); }) return content.ticket();
        return std::nullopt;
      },
      message);
}

JobAnswer ToAnswer(const GatewayMessage& message) {
  return std::visit(
      Overloaded{
          [](const AttachEntry&) -> JobAnswer { return JobOutcomeUnknown(); },
          [](const ConfigurationNotice&) -> JobAnswer {
            return JobOutcomeUnknown();
          },
          [](const auto& answer) -> JobAnswer { return answer; },
      },
      message);
}

void HandleAnswer(const GatewayMessage& message, std::uint64_t ticket,
                  GatewayTables& tables, GatewayTick& tick) {
  const GatewayCall* call = tables.calls_.Find(ticket);
  if (call == nullptr) return;
  const JobAnswer answer = ToAnswer(message);
  LogLine(tick, "call-answered", call->job(),
          {Field("answer",
                 std::visit([](const auto& a) { return std::string(a.kName); },
                            answer))});
  CloseCall(ticket, tables);
  SendAnswer(ticket, answer, tick);
}

}  // namespace

void HandleJobCall(const JobCall& call, GatewayTables& tables,
                   GatewayTick& tick) {
  tick.counters().Add(Counter::kRequestsAccepted);
  if (tables.configuration_.version() == 0) {
    return RefuseCall(call, 0, Reason::kUnknownService, tables, tick);
  }
  const JobQueue* queue = FindQueue(call, tables);
  if (queue == nullptr) return SendAnswer(call.ticket(), QueueNotFound(), tick);
  const std::string_view path = call.path();
  const std::string_view job_text = path.substr(queue->prefix().size());
  const std::optional<std::uint64_t> job = ParseJobId(job_text);
  const bool is_read = std::holds_alternative<ReadCall>(call.kind());
  if (!job && !(is_read && job_text.empty())) {
    return SendAnswer(call.ticket(),
                      InvalidJobCall::Builder()
                          .detail("not a job id: " + std::string(job_text))
                          .Build(),
                      tick);
  }
  if (const auto* submit = std::get_if<SubmitCall>(&call.kind())) {
    if (tick.now() < tables.submissions_stale_until_) {
      return RefuseCall(call, job.value_or(0), Reason::kDeadlinePassed, tables,
                        tick);
    }
    const std::optional<std::string> error = ValidateJob(*submit);
    if (error) {
      tick.counters().Add(Counter::kBadInputs);
      LogLine(tick, "job-malformed", job.value_or(0),
              {Field("detail", *error)});
      return SendAnswer(call.ticket(),
                        InvalidJobCall::Builder().detail(*error).Build(), tick);
    }
  }
  Forward(call, job.value_or(0), *queue, tables, tick);
}

void ApplyConfiguration(const SchedulerConfiguration& configuration,
                        GatewayTables& tables, GatewayTick& tick) {
  if (configuration.version() <= tables.configuration_.version()) return;
  tables.configuration_ = configuration;
  LogLine(tick, "configuration-in-force", 0,
          {Field("version", configuration.version()),
           Field("queues", configuration.queues().size())});
}

void HandleGatewayMessage(ConnectionId connection,
                          const GatewayMessage& message, GatewayTables& tables,
                          GatewayTick& tick) {
  if (const auto* attach = std::get_if<AttachEntry>(&message)) {
    if (tables.holders_.Find(connection) == nullptr) {
      LogLine(tick, "holder-followed", 0, {Field("epoch", attach->epoch())});
    }
    tables.holders_.Put(connection, HolderLink::Builder()
                                        .epoch(attach->epoch())
                                        .heard_at(tick.now())
                                        .Build());
    tick.Emit(SendToHolder::Builder()
                  .connection(connection)
                  .message(EntryAlive::Builder().epoch(attach->epoch()).Build())
                  .Build());
    return;
  }
  if (const auto* notice = std::get_if<ConfigurationNotice>(&message)) {
    return ApplyConfiguration(*notice->configuration(), tables, tick);
  }
  if (const auto ticket = TicketOf(message)) {
    HandleAnswer(message, *ticket, tables, tick);
  }
}

void HandleHolderConnectionClosed(const ConnectionClosed& closed,
                                  GatewayTables& tables, GatewayTick& tick) {
  if (!tables.holders_.Erase(closed.connection())) return;
  LogLine(tick, "holder-lost", 0, {});
  std::vector<std::uint64_t> affected;
  for (const auto& [ticket, call] : tables.calls_) {
    if (call.connection() == closed.connection()) affected.push_back(ticket);
  }
  for (const std::uint64_t ticket : affected) {
    CloseCall(ticket, tables);
    SendAnswer(ticket, JobOutcomeUnknown::Builder().ticket(ticket).Build(),
               tick);
  }
}

void ExpireHoldersAndCalls(GatewayTables& tables, GatewayTick& tick) {
  std::vector<ConnectionId> unresponsive;
  for (const auto& [connection, link] : tables.holders_) {
    const Instant timeout_at =
        link.heard_at() + tables.policy_.holder_silence();
    if (tick.now() < timeout_at) {
      tick.WakeAt(timeout_at);
    } else {
      unresponsive.push_back(connection);
    }
  }
  for (const ConnectionId connection : unresponsive) {
    tick.Emit(CloseConnection::Builder().connection(connection).Build());
    HandleHolderConnectionClosed(
        ConnectionClosed::Builder().connection(connection).Build(), tables,
        tick);
  }
  for (const std::uint64_t ticket : tables.expiries_.Due(tick.now())) {
    LogLine(tick, "call-undecided", tables.calls_.Find(ticket)->job(), {});
    CloseCall(ticket, tables);
    SendAnswer(ticket, JobOutcomeUnknown::Builder().ticket(ticket).Build(),
               tick);
  }
  tick.WakeAt(tables.expiries_.Earliest());
}

}  // namespace quetzalline
