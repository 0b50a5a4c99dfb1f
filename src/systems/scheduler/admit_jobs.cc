#include "systems/scheduler/admit_jobs.h"

#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/campaign.h"
#include "systems/scheduler/conclude_job.h"
#include "systems/scheduler/open_job.h"

namespace quetzalline {
namespace {

// Callers refused for the store's sake come back between once and twice this.
constexpr Duration kStoreRetryAfter = std::chrono::milliseconds(1000);

template <typename Message>
CallerWaiting WaitingOf(ConnectionId connection, const Message& message,
                        bool withdraws, Instant now) {
  return CallerWaiting::Builder()
      .connection(connection)
      .ticket(message.ticket())
      .job(message.job())
      .withdraws(withdraws)
      .since(now)
      .Build();
}

bool StoreIsFailing(const SchedulerTables& tables, Instant now) {
  if (tables.store_failing_since_) return true;
  return tables.commit_ && now - tables.commit_->since_ > kStorePatience;
}

// The holder knows every job, so that one it does not know is not there, as
// long as the store still shows its epoch.
void Probe(const CallerWaiting& caller, SchedulerTables& tables,
           SchedulerTick& tick) {
  GetKey(kEpochKey, ProbingJob::Builder().caller(caller).Build(), tables, tick);
}

}  // namespace

void RefuseForStore(ConnectionId connection, std::uint64_t ticket,
                    std::uint64_t job, SchedulerTick& tick) {
  const Duration retry_after =
      kStoreRetryAfter +
      Duration(UniformInt(tick.random(), kStoreRetryAfter.count()));
  LogLine(tick, "job-refused", job,
          {Field("reason", Reason::kStoreFailed),
           FieldMs("retry_after_ms", retry_after)});
  AnswerEntry(connection,
              JobRefused::Builder()
                  .ticket(ticket)
                  .reason(Reason::kStoreFailed)
                  .retry_after(retry_after)
                  .Build(),
              tick);
}

void AnswerEntry(ConnectionId connection, const GatewayMessage& message,
                 SchedulerTick& tick) {
  tick.Emit(
      SendToGateway::Builder().connection(connection).message(message).Build());
}

void HandIn(ConnectionId connection, const HandInJob& message,
            SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const JobRow* known = tables.jobs_.Find(message.job());
  if (known != nullptr && known->stored()) {
    return AnswerEntry(connection,
                       JobStored::Builder().ticket(message.ticket()).Build(),
                       tick);
  }
  if (known == nullptr) {
    if (StoreIsFailing(tables, tick.now())) {
      return RefuseForStore(connection, message.ticket(), message.job(), tick);
    }
    OpenNewJob(message.job(), message.record(), tick.now(), tables);
    tables.dirty_jobs_.Add(message.job(), DirtyKind::kAwaited, tick.now());
    tick.counters().Add(Counter::kTasksAccepted);
  }
  tables.callers_.push_back(WaitingOf(connection, message, false, tick.now()));
}

void Withdraw(ConnectionId connection, const WithdrawJob& message,
              SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const CallerWaiting caller = WaitingOf(connection, message, true, tick.now());
  const JobRow* known = tables.jobs_.Find(message.job());
  if (known == nullptr) return Probe(caller, tables, tick);
  if (known->closed()) {
    return AnswerEntry(connection,
                       JobWithdrawn::Builder().ticket(message.ticket()).Build(),
                       tick);
  }
  if (!IsOver(known->state())) {
    ConcludeJob(message.job(), JobState::kCancelled, Reason::kCancelled, tables,
                tick);
  }
  tables.callers_.push_back(caller);
}

void TellState(ConnectionId connection, const ReadJobState& message,
               SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const JobRow* known = tables.jobs_.Find(message.job());
  if (known == nullptr) {
    return Probe(WaitingOf(connection, message, false, tick.now()), tables,
                 tick);
  }
  if (!known->stored()) {
    return AnswerEntry(connection,
                       JobUndecided::Builder().ticket(message.ticket()).Build(),
                       tick);
  }
  // A final state is told only once it is kept.
  const bool hidden = IsOver(known->state()) && !known->closed();
  AnswerEntry(connection,
              JobStateTold::Builder()
                  .ticket(message.ticket())
                  .state(hidden ? JobState::kRunning : known->state())
                  .Build(),
              tick);
}

void TellPending(ConnectionId connection, const ReadPending& message,
                 SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  std::int64_t count = 0;
  for (const auto& [job, row] : tables.jobs_) {
    if (!row.stored() || row.began() || IsOver(row.state())) continue;
    if (row.record()->definition()->queue() == message.queue()) ++count;
  }
  AnswerEntry(
      connection,
      PendingTold::Builder().ticket(message.ticket()).count(count).Build(),
      tick);
}

void TakeProbe(const CallerWaiting& caller, const KvsResult& result,
               SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const auto* read = std::get_if<KvsItems>(&result);
  const JobRow* known = tables.jobs_.Find(caller.job());
  const HolderRecord* kept = read == nullptr ? nullptr : HolderIn(*read);
  if (kept == nullptr || known != nullptr) {
    return AnswerEntry(caller.connection(),
                       JobUndecided::Builder().ticket(caller.ticket()).Build(),
                       tick);
  }
  if (kept->epoch() != tables.term_.epoch()) {
    return StepDown("a later epoch is kept", tables, tick);
  }
  LogLine(tick, "job-unknown", caller.job(),
          {Field("store_revision", read->revision())});
  AnswerEntry(caller.connection(),
              JobUnknown::Builder().ticket(caller.ticket()).Build(), tick);
}

}  // namespace quetzalline
