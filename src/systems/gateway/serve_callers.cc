#include "systems/gateway/serve_callers.h"

#include <algorithm>
#include <set>

#include "core/overloaded.h"
#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/gateway/check_job.h"

namespace quetzalline {
namespace {

// Left of the caller's time when it is told that the outcome is unknown.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(150);

void Answer(std::uint64_t ticket, const JobAnswer& answer, GatewayTick& tick) {
  tick.Emit(AnswerJobCall::Builder().ticket(ticket).answer(answer).Build());
}

void Close(std::uint64_t ticket, GatewayTables& tables) {
  tables.calls_.Erase(ticket);
  tables.expiries_.Clear(ticket);
}

// The queue whose host is the caller's and whose prefix is the longest.
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

// The connection to the holder of the highest epoch that is heard.
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

void Refuse(const JobCall& call, std::uint64_t job, Reason reason,
            GatewayTables& tables, GatewayTick& tick) {
  const Duration least = tables.policy_.retry_after();
  const Duration retry_after =
      least + Duration(UniformInt(tick.random(), least.count()));
  LogLine(tick, "call-refused", job,
          {Field("reason", reason), FieldMs("retry_after_ms", retry_after)});
  tick.counters().Add(Counter::kCommandsRefused, reason);
  Answer(call.ticket(),
         JobRefused::Builder()
             .ticket(call.ticket())
             .reason(reason)
             .retry_after(retry_after)
             .Build(),
         tick);
}

HolderMessage MessageOf(const JobCall& call, std::uint64_t job,
                        const std::string& queue) {
  return std::visit(Overloaded{
                        [&](const SubmitCall& submit) -> HolderMessage {
                          const JobDefinition definition =
                              JobDefinition::Builder(**submit.definition())
                                  .queue(queue)
                                  .Build();
                          return HandInJob::Builder()
                              .ticket(call.ticket())
                              .job(job)
                              .record(JobRecord::Builder()
                                          .definition(definition)
                                          .accepted_ms(call.unix_ms())
                                          .Build())
                              .Build();
                        },
                        [&](const ReadCall&) -> HolderMessage {
                          if (job == 0) {
                            return ReadPending::Builder()
                                .ticket(call.ticket())
                                .queue(queue)
                                .Build();
                          }
                          return ReadJobState::Builder()
                              .ticket(call.ticket())
                              .job(job)
                              .Build();
                        },
                        [&](const WithdrawCall&) -> HolderMessage {
                          return WithdrawJob::Builder()
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
    return Refuse(call, job, Reason::kNotHolder, tables, tick);
  }
  Duration time = tables.policy_.longest_call();
  if (call.deadline() > Duration()) {
    time = std::min(time, call.deadline() - kAnswerMargin);
  }
  const Instant expires_at = tick.now() + time;
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
                .message(MessageOf(call, job, queue.name()))
                .Build());
}

// The ticket that an answer names; empty for messages that are no answers.
std::optional<std::uint64_t> TicketOf(const GatewayMessage& message) {
  return std::visit(
      [](const auto& held) -> std::optional<std::uint64_t> {
        if constexpr (requires { held.ticket(); }) return held.ticket();
        return std::nullopt;
      },
      message);
}

JobAnswer ToAnswer(const GatewayMessage& message) {
  return std::visit(
      Overloaded{
          [](const AttachEntry&) -> JobAnswer { return JobUndecided(); },
          [](const ConfigurationNotice&) -> JobAnswer {
            return JobUndecided();
          },
          [](const auto& answer) -> JobAnswer { return answer; },
      },
      message);
}

void TakeAnswer(const GatewayMessage& message, std::uint64_t ticket,
                GatewayTables& tables, GatewayTick& tick) {
  const GatewayCall* call = tables.calls_.Find(ticket);
  if (call == nullptr) return;
  const JobAnswer answer = ToAnswer(message);
  LogLine(tick, "call-answered", call->job(),
          {Field("answer",
                 std::visit([](const auto& a) { return std::string(a.kName); },
                            answer))});
  Close(ticket, tables);
  Answer(ticket, answer, tick);
}

}  // namespace

void TakeJobCall(const JobCall& call, GatewayTables& tables,
                 GatewayTick& tick) {
  tick.counters().Add(Counter::kRequestsAccepted);
  if (tables.configuration_.version() == 0) {
    return Refuse(call, 0, Reason::kUnknownService, tables, tick);
  }
  const JobQueue* queue = FindQueue(call, tables);
  if (queue == nullptr) return Answer(call.ticket(), QueueUnknown(), tick);
  const std::string_view path = call.path();
  const std::string_view rest = path.substr(queue->prefix().size());
  const std::optional<std::uint64_t> job = ParseJobText(rest);
  const bool reads = std::holds_alternative<ReadCall>(call.kind());
  if (!job && !(reads && rest.empty())) {
    return Answer(call.ticket(),
                  BadJobCall::Builder()
                      .detail("not a job id: " + std::string(rest))
                      .Build(),
                  tick);
  }
  if (const auto* submit = std::get_if<SubmitCall>(&call.kind())) {
    const std::optional<std::string> fault = FindJobFault(*submit);
    if (fault) {
      tick.counters().Add(Counter::kBadInputs);
      LogLine(tick, "job-malformed", job.value_or(0),
              {Field("detail", *fault)});
      return Answer(call.ticket(), BadJobCall::Builder().detail(*fault).Build(),
                    tick);
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

void TakeGatewayMessage(ConnectionId connection, const GatewayMessage& message,
                        GatewayTables& tables, GatewayTick& tick) {
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
    TakeAnswer(message, *ticket, tables, tick);
  }
}

void LoseHolder(const ConnectionClosed& closed, GatewayTables& tables,
                GatewayTick& tick) {
  if (!tables.holders_.Erase(closed.connection())) return;
  LogLine(tick, "holder-lost", 0, {});
  std::vector<std::uint64_t> sent;
  for (const auto& [ticket, call] : tables.calls_) {
    if (call.connection() == closed.connection()) sent.push_back(ticket);
  }
  for (const std::uint64_t ticket : sent) {
    Close(ticket, tables);
    Answer(ticket, JobUndecided::Builder().ticket(ticket).Build(), tick);
  }
}

void ExpireCalls(GatewayTables& tables, GatewayTick& tick) {
  std::vector<ConnectionId> silent;
  for (const auto& [connection, link] : tables.holders_) {
    const Instant silent_at = link.heard_at() + tables.policy_.holder_silence();
    if (tick.now() < silent_at) {
      tick.WakeAt(silent_at);
    } else {
      silent.push_back(connection);
    }
  }
  for (const ConnectionId connection : silent) {
    tick.Emit(CloseConnection::Builder().connection(connection).Build());
    LoseHolder(ConnectionClosed::Builder().connection(connection).Build(),
               tables, tick);
  }
  for (const std::uint64_t ticket : tables.expiries_.Due(tick.now())) {
    LogLine(tick, "call-undecided", tables.calls_.Find(ticket)->job(), {});
    Close(ticket, tables);
    Answer(ticket, JobUndecided::Builder().ticket(ticket).Build(), tick);
  }
  tick.WakeAt(tables.expiries_.Earliest());
}

}  // namespace quetzalline
