#include "systems/agent/admit_attempts.h"

#include <algorithm>
#include <optional>

#include "systems/agent/finish_execution.h"
#include "systems/agent/report_load.h"

namespace quetzalline {
namespace {

using Queues = ExecutionTable::Queues;

// Returns the expected time until the endpoint answers a newly queued attempt,
// including the call itself. Slots are shared fairly between callers, so of
// each caller's queue at most one attempt more than this caller has queued is
// ahead. All queued urgent attempts are ahead of an attempt that is not urgent.
Duration ExpectedTimeToAnswer(const AgentTables& tables, const Execution& row) {
  const ExecutionTable& executions = tables.executions_;
  const Duration service = ExpectedServiceTime(tables.policy_, tables.limit_);
  const auto slots = static_cast<std::int64_t>(tables.limit_.slots());
  if (executions.running() + executions.queued() < slots) return service;
  const Queues& queues = executions.queues(row.urgent());
  const auto own = queues.find(row.caller());
  const std::size_t own_length = own == queues.end() ? 0 : own->second.size();
  std::size_t ahead = 0;
  for (const auto& [caller, queue] : queues) {
    ahead += std::min(queue.size(), own_length + 1);
  }
  if (!row.urgent()) {
    for (const auto& [caller, queue] : executions.queues(true)) {
      ahead += queue.size();
    }
  }
  return service + service * static_cast<std::int64_t>(ahead + 1) / slots;
}

// Returns the first of the longest queues; null if there are none.
const Queues::value_type* LongestQueue(const Queues& queues) {
  const Queues::value_type* longest = nullptr;
  for (const Queues::value_type& entry : queues) {
    if (longest == nullptr || entry.second.size() > longest->second.size()) {
      longest = &entry;
    }
  }
  return longest;
}

// Returns the queued attempt that a new one displaces from the full queue. An
// urgent attempt displaces the newest non-urgent one of the longest queue. If
// that does not apply, the newest attempt of the longest queue of the same
// class is displaced, provided that its caller has at least two more queued
// than the new attempt's caller. Returns empty if nothing may be displaced.
std::optional<AttemptId> SelectVictim(const ExecutionTable& executions,
                                      const Execution& row) {
  const auto newest = [](const Queues::value_type& entry) {
    return entry.second.rbegin()->second;
  };
  const Queues::value_type* non_urgent = LongestQueue(executions.queues(false));
  if (row.urgent() && non_urgent != nullptr) return newest(*non_urgent);
  const Queues& queues = executions.queues(row.urgent());
  const Queues::value_type* longest = LongestQueue(queues);
  if (longest == nullptr) return std::nullopt;
  const auto own = queues.find(row.caller());
  const std::size_t own_length = own == queues.end() ? 0 : own->second.size();
  if (longest->second.size() < own_length + 2) return std::nullopt;
  return newest(*longest);
}

NotRun MakeRefusal(Reason reason, Duration retry_after) {
  return NotRun::Builder().reason(reason).retry_after(retry_after).Build();
}

// Returns the outcome that the idempotency key determines: the stored outcome
// of an earlier request with this key, or a refusal if another request uses the
// key, if the key is marked as repeated but has no stored outcome, or if the
// key table is full. Returns empty if the attempt may run.
std::optional<AttemptOutcome> OutcomeByKey(const KeyTable& keys,
                                           const AgentPolicy& policy,
                                           const Submit& submit) {
  if (submit.key().empty()) return std::nullopt;
  const KeyId id =
      KeyId::Builder().caller(submit.caller()).key(submit.key()).Build();
  const RememberedKey* known = keys.Find(id);
  if (known != nullptr && known->outcome()) return *known->outcome();
  const bool same_request =
      known != nullptr && known->request() == submit.attempt().request();
  if (same_request && !submit.repeated()) return std::nullopt;
  if (known != nullptr || submit.repeated()) {
    return MakeRefusal(Reason::kKeyConflict, Duration::zero());
  }
  if (static_cast<std::int64_t>(keys.size()) >= policy.max_keys()) {
    return MakeRefusal(Reason::kTableFull, policy.heartbeat_interval());
  }
  return std::nullopt;
}

// Stores the attempt's idempotency key, without an outcome yet.
void StoreKey(const Submit& submit, KeyTable& keys, Instant now) {
  if (submit.key().empty()) return;
  keys.Put(KeyId::Builder().caller(submit.caller()).key(submit.key()).Build(),
           RememberedKey::Builder()
               .request(submit.attempt().request())
               .seen(now)
               .Build());
}

Execution MakeExecution(const Received<Submit>& received, Instant now) {
  const Submit& submit = received.message_;
  return Execution::Builder()
      .id(submit.attempt())
      .caller(submit.caller())
      .urgent(submit.urgent())
      .request(submit.request())
      .lease_end(now + submit.lease())
      .key(submit.key())
      .connection(received.connection_)
      .state(Queued::Builder().since(now).Build())
      .Build();
}

// Returns a refusal if the endpoint is not active, if the stored answers exceed
// their limit in bytes, or if the attempt is not expected to be answered within
// its lease.
std::optional<NotRun> CheckAdmission(const AgentTables& tables,
                                     const Execution& row, Instant now) {
  if (tables.stage_.state() != EndpointState::kActive) {
    return MakeRefusal(Reason::kLeaving, Duration::zero());
  }
  if (tables.executions_.answer_bytes() > tables.policy_.max_answer_bytes()) {
    return MakeRefusal(Reason::kTableFull, tables.policy_.heartbeat_interval());
  }
  const Duration expected = ExpectedTimeToAnswer(tables, row);
  if (now + expected <= row.lease_end()) return std::nullopt;
  const Duration service = ExpectedServiceTime(tables.policy_, tables.limit_);
  return MakeRefusal(Reason::kDeadlineTooShort, expected - service);
}

// Admits an attempt to the full queue by displacing a queued one, or refuses it
// if nothing may be displaced.
void DisplaceOrRefuse(const Execution& row, AgentTables& tables,
                      AgentTick& tick) {
  const Duration wait = ExpectedTimeToAnswer(tables, row);
  const std::optional<AttemptId> victim = SelectVictim(tables.executions_, row);
  if (!victim) {
    FinishExecution(row, MakeRefusal(Reason::kQueueFull, wait), tables, tick);
    return;
  }
  const Execution displaced = *tables.executions_.Find(*victim);
  FinishExecution(displaced, MakeRefusal(Reason::kFairShare, wait), tables,
                  tick);
  tables.executions_.Put(row);
  tick.counters().Add(Counter::kAttemptsAdmitted);
}

// Handles a frame that arrived again: the state of the attempt stays as it is,
// and an outcome that is already known is sent again.
void ResendOutcome(const Execution& known, AgentTables& tables,
                   AgentTick& tick) {
  tick.counters().Add(Counter::kAttemptsRepeated);
  if (const auto* answered = std::get_if<Answered>(&known.state())) {
    SendAnswer(tables, known, answered->outcome(), tick);
  }
}

void AdmitAttempt(const Received<Submit>& received, AgentTables& tables,
                  AgentTick& tick) {
  const Submit& submit = received.message_;
  const Execution* known = tables.executions_.Find(submit.attempt());
  if (known != nullptr) return ResendOutcome(*known, tables, tick);
  const Execution row = MakeExecution(received, tick.now());
  const std::optional<AttemptOutcome> key_outcome =
      OutcomeByKey(tables.keys_, tables.policy_, submit);
  if (key_outcome) {
    tick.counters().Add(Counter::kKeysRepeated);
    const Execution without_key = Execution::Builder(row).key("").Build();
    FinishExecution(without_key, *key_outcome, tables, tick);
    return;
  }
  const std::optional<NotRun> refusal = CheckAdmission(tables, row, tick.now());
  if (refusal) return FinishExecution(row, *refusal, tables, tick);
  StoreKey(submit, tables.keys_, tick.now());
  if (tables.executions_.queued() >= tables.policy_.queue_limit()) {
    return DisplaceOrRefuse(row, tables, tick);
  }
  tables.executions_.Put(row);
  tick.counters().Add(Counter::kAttemptsAdmitted);
}

}  // namespace

void AdmitAttempts(const AgentInbox& inbox, AgentTables& tables,
                   AgentTick& tick) {
  for (const Received<Submit>& received : inbox.submits_) {
    AdmitAttempt(received, tables, tick);
  }
}

}  // namespace quetzalline
