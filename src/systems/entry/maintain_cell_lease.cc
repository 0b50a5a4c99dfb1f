#include "systems/entry/maintain_cell_lease.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "core/overloaded.h"
#include "systems/entry/append_journal.h"
#include "systems/entry/call_store.h"
#include "systems/entry/replay_journal.h"
#include "systems/entry/run_commands.h"
#include "systems/entry/store_keys.h"

namespace quetzalline {
namespace {

// Number of renewals within the duration of a lease.
constexpr int kRenewalsPerLease = 3;

CellHolding::Builder EditCell(const EntryTables& tables) {
  return CellHolding::Builder(tables.cell_);
}

bool IsHolder(const EntryTables& tables) {
  return std::holds_alternative<Holding>(tables.cell_.stage());
}

bool IsIdle(const EntryTables& tables) {
  return std::holds_alternative<NotHolding>(tables.cell_.stage());
}

bool IsOwn(const CellLease& lease, const EntryPolicy& policy) {
  return lease.holder() == policy.entry() &&
         lease.incarnation() == policy.incarnation();
}

void ReadLease(EntryTables& tables, EntryTick& tick) {
  tables.cell_ = EditCell(tables).watching(true).Build();
  ReadStore(LeaseKey(tables.policy_.cell()), LeaseWatch(), tables, tick);
}

void WatchLease(std::int64_t after, EntryTables& tables, EntryTick& tick) {
  tables.cell_ = EditCell(tables).watching(true).Build();
  WatchStore(LeaseKey(tables.policy_.cell()), after, LeaseWatch(), tables,
             tick);
}

void WriteLease(bool released, EntryTables& tables, EntryTick& tick) {
  const EntryPolicy& policy = tables.policy_;
  const std::optional<CellLease>& previous = tables.cell_.lease();
  const std::uint64_t renewal = previous ? previous->renewal() + 1 : 1;
  const StoreRecord record = CellLease::Builder()
                                 .holder(policy.entry())
                                 .incarnation(policy.incarnation())
                                 .address(policy.operator_url())
                                 .renewal(renewal)
                                 .released(released)
                                 .Build();
  WriteStore(LeaseKey(policy.cell()), record, tables.cell_.lease_index(),
             LeaseWrite::Builder()
                 .asked(tick.now())
                 .renewal(renewal)
                 .released(released)
                 .Build(),
             tables, tick);
  tables.cell_ =
      EditCell(tables)
          .next_renewal(tick.now() + policy.cell_lease() / kRenewalsPerLease)
          .Build();
}

std::optional<CellLease> FindLease(const StoreValues& values,
                                   std::int64_t& index) {
  for (const StoreItem& item : values.items()) {
    const auto* lease = std::get_if<CellLease>(&*item.record());
    if (lease == nullptr) continue;
    index = item.index();
    return *lease;
  }
  return std::nullopt;
}

void HandleLeaseValues(const StoreValues& values, EntryTables& tables,
                       EntryTick& tick) {
  std::int64_t index = 0;
  const std::optional<CellLease> lease = FindLease(values, index);
  if (index < tables.cell_.lease_index()) return;
  const bool changed =
      !tables.cell_.lease_read() || index != tables.cell_.lease_index();
  CellHolding::Builder builder = EditCell(tables);
  builder.lease(lease).lease_read(true).lease_index(index);
  if (changed) builder.lease_changed(tick.now());
  tables.cell_ = std::move(builder).Build();
  const bool lost = IsHolder(tables) && lease && !IsOwn(*lease, tables.policy_);
  if (lost) StepDown(Reason::kNotHolder, tables, tick);
}

// Restarts the time after which the current lease counts as expired. While the
// store cannot be read, missing renewals do not show that the holder is
// unresponsive.
void RestartLeaseTimeout(EntryTables& tables, EntryTick& tick) {
  tick.counters().Add(Counter::kStoreFailures);
  tables.cell_ = EditCell(tables)
                     .lease_changed(tick.now())
                     .next_renewal(tick.now() + tables.policy_.store_retry())
                     .Build();
}

void HandleLeaseWatchResult(const StoreResult& result, EntryTables& tables,
                            EntryTick& tick) {
  tables.cell_ = EditCell(tables).watching(false).Build();
  const Overloaded handle{
      [&](const StoreValues& values) {
        HandleLeaseValues(values, tables, tick);
        if (IsIdle(tables)) WatchLease(values.index(), tables, tick);
      },
      [&](const StoreFailed&) { RestartLeaseTimeout(tables, tick); },
      [](const StoreWritten&) {},
      [](const StoreConflict&) {},
  };
  std::visit(handle, result);
}

CellLease OwnLease(const LeaseWrite& write, const EntryPolicy& policy) {
  return CellLease::Builder()
      .holder(policy.entry())
      .incarnation(policy.incarnation())
      .address(policy.operator_url())
      .renewal(write.renewal())
      .released(write.released())
      .Build();
}

void HandleLeaseWritten(const LeaseWrite& write, std::int64_t index,
                        EntryTables& tables, EntryTick& tick) {
  tables.cell_ = EditCell(tables)
                     .lease(OwnLease(write, tables.policy_))
                     .lease_index(index)
                     .lease_changed(tick.now())
                     .valid_until(write.asked() + tables.policy_.cell_lease())
                     .Build();
  if (!std::holds_alternative<TakingLease>(tables.cell_.stage())) return;
  tables.cell_ = EditCell(tables).stage(Replaying()).Build();
  ReadStore(JournalPrefix(tables.policy_.cell()), JournalRead(), tables, tick);
}

// Reads the lease back, because the write may or may not have taken effect, or
// because the lease has changed unseen. The watch may be lost without a sign
// until it times out, so it is not relied on.
void ReadBackLease(EntryTables& tables, EntryTick& tick) {
  if (std::holds_alternative<TakingLease>(tables.cell_.stage())) {
    tables.cell_ = EditCell(tables).stage(NotHolding()).Build();
  }
  if (!tables.cell_.watching()) return ReadLease(tables, tick);
  ReadStore(LeaseKey(tables.policy_.cell()), LeaseRead(), tables, tick);
}

void HandleLeaseWriteResult(const LeaseWrite& write, const StoreResult& result,
                            EntryTables& tables, EntryTick& tick) {
  const Overloaded handle{
      [&](const StoreWritten& written) {
        HandleLeaseWritten(write, written.index(), tables, tick);
      },
      [&](const StoreConflict&) { ReadBackLease(tables, tick); },
      [&](const StoreFailed&) {
        RestartLeaseTimeout(tables, tick);
        ReadBackLease(tables, tick);
      },
      [](const StoreValues&) {},
  };
  std::visit(handle, result);
}

void HandleJournalReadResult(const StoreResult& result, EntryTables& tables,
                             EntryTick& tick) {
  if (!std::holds_alternative<Replaying>(tables.cell_.stage())) return;
  const Overloaded handle{
      [&](const StoreValues& values) {
        ReplayJournal(values, tables, tick.now());
        SealJournal(tables, tick);
      },
      [&](const StoreFailed&) { StepDown(Reason::kStoreFailed, tables, tick); },
      [](const StoreWritten&) {},
      [](const StoreConflict&) {},
  };
  std::visit(handle, result);
}

void HandleStoreResult(const CompletedStoreCall& completed, EntryTables& tables,
                       EntryTick& tick) {
  if (std::holds_alternative<LeaseWatch>(completed.purpose_)) {
    HandleLeaseWatchResult(completed.result_, tables, tick);
  }
  const auto* values = std::get_if<StoreValues>(&completed.result_);
  if (std::holds_alternative<LeaseRead>(completed.purpose_) && values) {
    HandleLeaseValues(*values, tables, tick);
  }
  if (const auto* write = std::get_if<LeaseWrite>(&completed.purpose_)) {
    HandleLeaseWriteResult(*write, completed.result_, tables, tick);
  }
  if (std::holds_alternative<JournalRead>(completed.purpose_)) {
    HandleJournalReadResult(completed.result_, tables, tick);
  }
}

// Returns the time from which this process may try to acquire the lease, judged
// by the lease as it was last read, and some time after a failed try.
Instant LeaseAvailableAt(const EntryTables& tables) {
  const CellHolding& cell = tables.cell_;
  const bool is_available = !cell.lease() || cell.lease()->released() ||
                            IsOwn(*cell.lease(), tables.policy_);
  if (is_available) return cell.next_renewal();
  return std::max(cell.lease_changed() + tables.policy_.cell_lease(),
                  cell.next_renewal());
}

void TryToAcquire(EntryTables& tables, EntryTick& tick) {
  if (!tables.cell_.lease_read()) {
    if (tables.cell_.watching()) return;
    if (tick.now() >= tables.cell_.next_renewal()) {
      return ReadLease(tables, tick);
    }
    return tick.WakeAt(tables.cell_.next_renewal());
  }
  if (!tables.cell_.watching()) {
    WatchLease(tables.cell_.lease_index(), tables, tick);
  }
  const Instant available_at = LeaseAvailableAt(tables);
  if (tick.now() < available_at) return tick.WakeAt(available_at);
  tables.cell_ = EditCell(tables).stage(TakingLease()).Build();
  WriteLease(false, tables, tick);
}

void RenewLease(EntryTables& tables, EntryTick& tick) {
  if (tick.now() >= tables.cell_.next_renewal()) {
    WriteLease(false, tables, tick);
  }
  tick.WakeAt(tables.cell_.next_renewal());
}

bool IsHolderCall(const StorePurpose& purpose) {
  return std::visit(Overloaded{[](const ConfigurationWatch&) { return false; },
                               [](const PublicationWrite&) { return false; },
                               [](const PublicationCheck&) { return false; },
                               [](const LeaseRead&) { return false; },
                               [](const LeaseWatch&) { return false; },
                               [](const LeaseWrite&) { return true; },
                               [](const JournalRead&) { return true; },
                               [](const JournalWrite&) { return true; },
                               [](const JournalCheck&) { return true; },
                               [](const SnapshotWrite&) { return true; },
                               [](const KeyBucketRead&) { return false; },
                               [](const KeyBucketWrite&) { return false; }},
                    purpose);
}

// Drops the pending calls of this term as holder, so that their results are not
// mistaken for those of later calls.
void DropHolderCalls(StoreCallTable& calls) {
  std::vector<std::uint64_t> tickets;
  for (const auto& [ticket, call] : calls) {
    if (IsHolderCall(call.purpose())) tickets.push_back(ticket);
  }
  for (const std::uint64_t ticket : tickets) calls.Erase(ticket);
}

bool OutageLeaseExpired(const EntryTables& tables, Instant now) {
  return now >= tables.cell_.valid_until() + tables.policy_.outage_lease();
}

}  // namespace

void StepDown(Reason reason, EntryTables& tables, EntryTick& tick) {
  tick.counters().Add(Counter::kCellLosses, reason);
  tick.Emit(LogChange::Builder()
                .event("cell-given-up")
                .subject(tables.policy_.cell())
                .reason(reason)
                .Build());
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, row] : tables.commands_.rows()) {
    if (!std::holds_alternative<PublishService>(row.command())) {
      waiting.push_back(id);
    }
  }
  const CommandUnknown unknown =
      CommandUnknown::Builder().reason(reason).Build();
  for (const std::uint64_t id : waiting) {
    AnswerCommand(id, unknown, tables, tick);
  }
  DropHolderCalls(tables.store_calls_);
  tables.journal_.Clear();
  tables.tasks_.Clear();
  tables.cell_ = EditCell(tables)
                     .stage(NotHolding())
                     .snapshot_pending(false)
                     .check_at(std::nullopt)
                     .next_renewal(tick.now() + tables.policy_.store_retry())
                     .Build();
}

void ReleaseCellLease(EntryTables& tables, EntryTick& tick) {
  if (!IsHolder(tables)) return;
  WriteLease(true, tables, tick);
  StepDown(Reason::kLeaving, tables, tick);
}

void MaintainCellLease(const EntryInbox& inbox, EntryTables& tables,
                       EntryTick& tick) {
  for (const CompletedStoreCall& completed : inbox.completed_store_calls_) {
    HandleStoreResult(completed, tables, tick);
  }
  if (tables.stage_.leaving() || tables.policy_.cell().empty()) return;
  if (IsIdle(tables)) TryToAcquire(tables, tick);
  if (!IsHolder(tables)) return;
  if (OutageLeaseExpired(tables, tick.now())) {
    return StepDown(Reason::kStoreFailed, tables, tick);
  }
  RenewLease(tables, tick);
}

}  // namespace quetzalline
