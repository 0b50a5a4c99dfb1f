#include "systems/scheduler/track_members.h"

#include <algorithm>

#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/track_jobs.h"

namespace quetzalline {
namespace {

// Maximum duration of one watch. A notification that was lost delays the
// connection to a new member by at most this.
constexpr Duration kMembersWatchTimeout = std::chrono::seconds(10);
// Interval of heartbeats to an entry; a third of the timeout of entries.
constexpr Duration kEntryHeartbeatInterval = std::chrono::milliseconds(500);

// Base delay before a failed read is repeated. Jitter adds up to the same time
// again.
constexpr Duration kRetryDelay = std::chrono::milliseconds(150);

Instant NextRetry(SchedulerTick& tick) {
  return tick.now() + kRetryDelay +
         Duration(UniformInt(tick.random(), kRetryDelay.count()));
}

void AddListedMembers(const KvsItems& read, SchedulerTables& tables,
                      SchedulerTick& tick) {
  for (const KvsItem& item : read.items()) {
    const auto* record =
        item.record() ? std::get_if<MemberRecord>(&*item.record()) : nullptr;
    const std::string_view name = StripPrefix(item.key(), kMemberPrefix);
    if (record == nullptr || name.empty()) {
      tick.counters().Add(Counter::kBadInputs);
      continue;
    }
    AddMember(MemberName(std::string(name)), *record, tables, tick);
  }
  tables.members_revision_ =
      std::max(tables.members_revision_, read.revision());
}

void ApplyConfiguration(const SchedulerConfiguration& configuration,
                        SchedulerTables& tables, SchedulerTick& tick) {
  if (configuration.version() <= tables.configuration_.version()) return;
  tables.configuration_ = configuration;
  tables.placement_due_ = true;
  ApplyQueueSettings(tables);
  LogLine(tick, "configuration-in-force", 0,
          {Field("version", configuration.version()),
           Field("queues", configuration.queues().size())});
  for (const auto& [name, row] : tables.members_) {
    if (!row.connection()) continue;
    if (row.record().role() != MemberRole::kEntry) continue;
    tick.Emit(SendToGateway::Builder()
                  .connection(*row.connection())
                  .message(ConfigurationNotice::Builder()
                               .configuration(configuration)
                               .Build())
                  .Build());
  }
}

// Returns the time since which the member's answer is awaited. A connection
// that follows one without an answer does not begin that wait anew, nor does a
// process that has started again.
Instant AwaitedSince(const MemberRow& row, const SchedulerTables& tables) {
  const bool first = row.changed_attention() == Instant();
  return first || row.answered() ? tables.attention_ : row.changed_attention();
}

// Sends the first messages of a session.
void AttachMember(const MemberRow& row, ConnectionId connection,
                  SchedulerTables& tables, SchedulerTick& tick) {
  if (row.record().role() == MemberRole::kRunner) {
    tick.Emit(SendToRunner::Builder()
                  .connection(connection)
                  .message(AttachRunner::Builder()
                               .epoch(tables.term_.epoch())
                               .session(row.session())
                               .Build())
                  .Build());
    return;
  }
  const auto send = [&](const GatewayMessage& message) {
    tick.Emit(SendToGateway::Builder()
                  .connection(connection)
                  .message(message)
                  .Build());
  };
  send(AttachEntry::Builder().epoch(tables.term_.epoch()).Build());
  if (tables.configuration_.version() == 0) return;
  send(ConfigurationNotice::Builder()
           .configuration(tables.configuration_)
           .Build());
}

}  // namespace

void AddMember(const MemberName& name, const MemberRecord& record,
               SchedulerTables& tables, SchedulerTick& tick) {
  const MemberRow* known = tables.members_.Find(name);
  if (known != nullptr && known->record() == record) return;
  if (known != nullptr) tick.Emit(DropPeer::Builder().member(name).Build());
  MemberRow::Builder row;
  if (known != nullptr) {
    row.answered(known->answered())
        .changed_attention(known->changed_attention());
  }
  tables.members_.Put(name, row.record(record).Build());
  if (record.role() == MemberRole::kRunner &&
      tables.workers_.Find(name) == nullptr) {
    tables.workers_.Put(name, WorkerRow());
  }
  LogLine(tick, "member-known", 0,
          {Field("member", name.value()), Field("role", record.role()),
           Field("address", record.address())});
  tick.Emit(DialPeer::Builder().member(name).address(record.address()).Build());
}

void WatchMembers(SchedulerTables& tables, SchedulerTick& tick) {
  WatchKeys(kMemberPrefix, tables.members_revision_, kMembersWatchTimeout,
            WatchingMembers(), tables, tick);
}

void HandleMembersWatch(const KvsResult& result, SchedulerTables& tables,
                        SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const auto* changes = std::get_if<KvsItems>(&result);
  if (changes == nullptr) {
    tables.members_retry_at_ = NextRetry(tick);
    return;
  }
  AddListedMembers(*changes, tables, tick);
  WatchMembers(tables, tick);
}

void HandleMembersList(const KvsResult& result, SchedulerTables& tables,
                       SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const auto* read = std::get_if<KvsItems>(&result);
  if (read == nullptr) {
    tables.members_retry_at_ = NextRetry(tick);
    return;
  }
  AddListedMembers(*read, tables, tick);
  WatchMembers(tables, tick);
}

void ConnectMember(const PeerConnected& connected, SchedulerTables& tables,
                   SchedulerTick& tick) {
  const MemberRow* known = tables.members_.Find(connected.member());
  if (known == nullptr || !IsActing(tables)) {
    tick.Emit(
        CloseConnection::Builder().connection(connected.connection()).Build());
    return;
  }
  if (known->connection()) tables.connections_.erase(*known->connection());
  const MemberRow row = MemberRow::Builder(*known)
                            .connection(connected.connection())
                            .session(++tables.last_session_)
                            .heard_at(tick.now())
                            .heard_attention(tables.attention_)
                            .changed_attention(AwaitedSince(*known, tables))
                            .answered(false)
                            .Build();
  tables.members_.Put(connected.member(), row);
  tables.connections_[connected.connection()] = connected.member();
  if (const WorkerRow* worker = tables.workers_.Find(connected.member())) {
    tables.workers_.Put(
        connected.member(),
        WorkerRow::Builder(*worker).listing(RunListing::kNone).Build());
  }
  AttachMember(row, connected.connection(), tables, tick);
}

void DisconnectMember(const ConnectionClosed& closed, SchedulerTables& tables,
                      SchedulerTick& tick) {
  const auto found = tables.connections_.find(closed.connection());
  if (found == tables.connections_.end()) return;
  const MemberName name = found->second;
  tables.connections_.erase(found);
  if (const MemberRow* row = tables.members_.Find(name)) {
    tables.members_.Put(name, MemberRow::Builder(*row)
                                  .connection(std::nullopt)
                                  .changed_attention(AwaitedSince(*row, tables))
                                  .Build());
  }
  if (const WorkerRow* worker = tables.workers_.Find(name)) {
    tables.workers_.Put(
        name, WorkerRow::Builder(*worker).listing(RunListing::kNone).Build());
  }
  LogLine(tick, "member-unreachable", 0, {Field("member", name.value())});
}

void WatchConfiguration(SchedulerTables& tables, SchedulerTick& tick) {
  if (tables.configuration_.version() == 0) {
    tables.configuration_retry_at_ = NextRetry(tick);
    return;
  }
  WatchKeys(kConfigurationKey, tables.configuration_revision_,
            tables.policy_.configuration_watch(), WatchingConfiguration(),
            tables, tick);
}

void HandleConfigurationWatch(const KvsResult& result, SchedulerTables& tables,
                              SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const auto* changes = std::get_if<KvsItems>(&result);
  if (changes == nullptr) {
    tables.configuration_retry_at_ = NextRetry(tick);
    return;
  }
  for (const KvsItem& item : changes->items()) {
    const auto* configuration =
        item.record() ? std::get_if<SchedulerConfiguration>(&*item.record())
                      : nullptr;
    if (configuration == nullptr) {
      tick.counters().Add(Counter::kBadInputs);
      continue;
    }
    ApplyConfiguration(*configuration, tables, tick);
  }
  tables.configuration_revision_ =
      std::max(tables.configuration_revision_, changes->revision());
  WatchConfiguration(tables, tick);
}

void RetryReads(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  if (tables.members_retry_at_ && tick.now() >= *tables.members_retry_at_) {
    tables.members_retry_at_.reset();
    ListKeys(kMemberPrefix, ListingMembers(), tables, tick);
  }
  if (tables.configuration_retry_at_ &&
      tick.now() >= *tables.configuration_retry_at_) {
    tables.configuration_retry_at_.reset();
    GetKey(kConfigurationKey, ReadingConfiguration(), tables, tick);
  }
  tick.WakeAt(tables.members_retry_at_);
  tick.WakeAt(tables.configuration_retry_at_);
}

void SendEntryHeartbeats(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  if (tick.now() >= tables.next_entry_heartbeat_) {
    tables.next_entry_heartbeat_ = tick.now() + kEntryHeartbeatInterval;
    for (const auto& [name, row] : tables.members_) {
      if (!row.connection()) continue;
      if (row.record().role() != MemberRole::kEntry) continue;
      tick.Emit(
          SendToGateway::Builder()
              .connection(*row.connection())
              .message(
                  AttachEntry::Builder().epoch(tables.term_.epoch()).Build())
              .Build());
    }
  }
  tick.WakeAt(tables.next_entry_heartbeat_);
}

}  // namespace quetzalline
