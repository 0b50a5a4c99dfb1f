#include "systems/scheduler/admit_jobs.h"

#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/cell/validate_definition.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/finish_job.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/track_jobs.h"

namespace quetzalline {
namespace {

// Base of the retry delay that callers receive while the store is failing.
// Jitter adds up to the same time again.
constexpr Duration kRetryAfterBase = std::chrono::milliseconds(1000);

template <typename Message>
CallerWaiting MakeWaitingCaller(ConnectionId connection, const Message& message,
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
  return tables.commit_ && !tables.commit_->isolated_ &&
         now - tables.commit_->since_ > kStoreTimeout;
}

// Returns true if no submission of the job was accepted, as far as this holder
// knows.
bool IsUnknown(const JobRow* row) {
  return row == nullptr || row->state() == JobState::kWithdrawn;
}

// Reads the epoch on behalf of a caller whose job is unknown. The holder loads
// all stored jobs at the start of its term, so a job that it does not know does
// not exist, provided that the store still shows its epoch.
void ProbeEpoch(const CallerWaiting& caller, SchedulerTables& tables,
                SchedulerTick& tick) {
  GetKey(kEpochKey, ProbingJob::Builder().caller(caller).Build(), tables, tick);
}

// An entry validates jobs before it passes them on, so this concerns an entry
// of another release. The next holder would not load such a job.
void RefuseInvalid(ConnectionId connection, const SubmitJobRequest& message,
                   const std::string& error, SchedulerTick& tick) {
  tick.counters().Add(Counter::kBadInputs);
  LogLine(tick, "job-malformed", message.job(), {Field("detail", error)});
  ReplyToEntry(connection,
               JobRefused::Builder()
                   .ticket(message.ticket())
                   .reason(Reason::kInvalid)
                   .retry_after(kRetryAfterBase)
                   .Build(),
               tick);
}

void RefuseJob(ConnectionId connection, std::uint64_t ticket, std::uint64_t job,
               Reason reason, SchedulerTick& tick) {
  const Duration retry_after =
      kRetryAfterBase +
      Duration(UniformInt(tick.random(), kRetryAfterBase.count()));
  LogLine(tick, "job-refused", job,
          {Field("reason", reason), FieldMs("retry_after_ms", retry_after)});
  ReplyToEntry(connection,
               JobRefused::Builder()
                   .ticket(ticket)
                   .reason(reason)
                   .retry_after(retry_after)
                   .Build(),
               tick);
}

}  // namespace

void RefuseStoreUnavailable(ConnectionId connection, std::uint64_t ticket,
                            std::uint64_t job, SchedulerTick& tick) {
  RefuseJob(connection, ticket, job, Reason::kStoreFailed, tick);
}

void ReplyCancelled(ConnectionId connection, std::uint64_t ticket,
                    std::uint64_t job, const SchedulerTables& tables,
                    SchedulerTick& tick) {
  if (IsUnknown(tables.jobs_.Find(job))) {
    return ReplyToEntry(connection,
                        JobNotFound::Builder().ticket(ticket).Build(), tick);
  }
  ReplyToEntry(connection, CancelJobReply::Builder().ticket(ticket).Build(),
               tick);
}

void ReplyToEntry(ConnectionId connection, const GatewayMessage& message,
                  SchedulerTick& tick) {
  tick.Emit(
      SendToGateway::Builder().connection(connection).message(message).Build());
}

void AcceptJob(ConnectionId connection, const SubmitJobRequest& message,
               SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const JobRow* known = tables.jobs_.Find(message.job());
  if (known != nullptr && IsUnknown(known)) {
    return RefuseJob(connection, message.ticket(), message.job(),
                     Reason::kCancelled, tick);
  }
  if (known != nullptr && known->stored()) {
    return ReplyToEntry(connection,
                        JobStored::Builder().ticket(message.ticket()).Build(),
                        tick);
  }
  if (known == nullptr) {
    if (StoreIsFailing(tables, tick.now())) {
      return RefuseStoreUnavailable(connection, message.ticket(), message.job(),
                                    tick);
    }
    if (tables.unstorable_jobs_.count(message.job()) > 0) {
      return RefuseInvalid(connection, message, "rejected by the store", tick);
    }
    if (const auto error = ValidateDefinition(*message.record().definition())) {
      return RefuseInvalid(connection, message, *error, tick);
    }
    AddSubmittedJob(message.job(), message.record(), tick.now(), tables);
    tables.dirty_jobs_.Add(message.job(), DirtyKind::kAwaited, tick.now());
    tick.counters().Add(Counter::kTasksAccepted);
  }
  tables.callers_.push_back(
      MakeWaitingCaller(connection, message, false, tick.now()));
}

void CancelAcceptedJob(ConnectionId connection, const CancelJobRequest& message,
                       SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const CallerWaiting caller =
      MakeWaitingCaller(connection, message, true, tick.now());
  const JobRow* known = tables.jobs_.Find(message.job());
  if (known != nullptr && known->closed()) {
    return ReplyCancelled(connection, message.ticket(), message.job(), tables,
                          tick);
  }
  if (known == nullptr) {
    LogLine(tick, "job-withdrawn", message.job(), {});
    AddWithdrawnJob(message.job(), tick.now(), tables);
  } else if (!IsFinalState(known->state())) {
    FinishJob(message.job(), JobState::kCancelled, Reason::kCancelled, tables,
              tick);
  }
  tables.callers_.push_back(caller);
}

void ReplyJobState(ConnectionId connection, const ReadJobState& message,
                   SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const JobRow* known = tables.jobs_.Find(message.job());
  if (IsUnknown(known)) {
    return ProbeEpoch(MakeWaitingCaller(connection, message, false, tick.now()),
                      tables, tick);
  }
  if (!known->stored()) {
    return ReplyToEntry(
        connection,
        JobOutcomeUnknown::Builder().ticket(message.ticket()).Build(), tick);
  }
  // A final state is reported only after it is stored.
  const bool final_unstored = IsFinalState(known->state()) && !known->closed();
  ReplyToEntry(connection,
               JobStateReply::Builder()
                   .ticket(message.ticket())
                   .state(final_unstored ? JobState::kRunning : known->state())
                   .Build(),
               tick);
}

void ReplyPendingCount(ConnectionId connection, const ReadPendingCount& message,
                       SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  std::int64_t count = 0;
  for (const auto& [job, row] : tables.jobs_) {
    if (!row.stored() || row.began() || IsFinalState(row.state())) continue;
    if (row.record()->definition()->queue() == message.queue()) ++count;
  }
  ReplyToEntry(connection,
               PendingCountReply::Builder()
                   .ticket(message.ticket())
                   .count(count)
                   .Build(),
               tick);
}

void HandleJobProbe(const CallerWaiting& caller, const KvsResult& result,
                    SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const auto* read = std::get_if<KvsItems>(&result);
  const JobRow* known = tables.jobs_.Find(caller.job());
  const HolderRecord* stored =
      read == nullptr ? nullptr : HolderRecordIn(*read);
  if (stored == nullptr || !IsUnknown(known)) {
    return ReplyToEntry(
        caller.connection(),
        JobOutcomeUnknown::Builder().ticket(caller.ticket()).Build(), tick);
  }
  if (stored->epoch() != tables.term_.epoch()) {
    return StepDown("the store shows another epoch", tables, tick);
  }
  LogLine(tick, "job-unknown", caller.job(),
          {Field("store_revision", read->revision())});
  ReplyToEntry(caller.connection(),
               JobNotFound::Builder().ticket(caller.ticket()).Build(), tick);
}

}  // namespace quetzalline
