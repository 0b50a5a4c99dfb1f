#include "systems/scheduler/call_kv.h"

#include <utility>

namespace quetzalline {
namespace {

std::uint64_t OpenCall(const KvPurpose& purpose, SchedulerTables& tables,
                       SchedulerTick& tick) {
  const std::uint64_t ticket = ++tables.last_ticket_;
  tick.counters().Add(Counter::kStoreCalls);
  tables.store_calls_.Put(ticket, KvPending::Builder()
                                      .purpose(purpose)
                                      .term(tables.term_number_)
                                      .sent_at(tick.now())
                                      .Build());
  return ticket;
}

}  // namespace

void GetKey(std::string_view key, const KvPurpose& purpose,
            SchedulerTables& tables, SchedulerTick& tick) {
  tick.Emit(KvGet::Builder()
                .ticket(OpenCall(purpose, tables, tick))
                .key(std::string(key))
                .Build());
}

void ListKeys(std::string_view prefix, const KvPurpose& purpose,
              SchedulerTables& tables, SchedulerTick& tick) {
  tick.Emit(KvList::Builder()
                .ticket(OpenCall(purpose, tables, tick))
                .prefix(std::string(prefix))
                .Build());
}

void WatchKeys(std::string_view prefix, std::int64_t after, Duration wait,
               const KvPurpose& purpose, SchedulerTables& tables,
               SchedulerTick& tick) {
  tick.Emit(KvWatch::Builder()
                .ticket(OpenCall(purpose, tables, tick))
                .prefix(std::string(prefix))
                .after(after)
                .wait(wait)
                .Build());
}

void CommitKeys(std::vector<KvExpectation> expectations,
                std::vector<KvPut> puts, std::vector<std::string> removals,
                const KvPurpose& purpose, SchedulerTables& tables,
                SchedulerTick& tick) {
  tick.Emit(KvCommit::Builder()
                .ticket(OpenCall(purpose, tables, tick))
                .expectations(std::move(expectations))
                .puts(std::move(puts))
                .removals(std::move(removals))
                .Build());
}

void OpenLease(Duration time, const KvPurpose& purpose, SchedulerTables& tables,
               SchedulerTick& tick) {
  tick.Emit(KvOpenLease::Builder()
                .ticket(OpenCall(purpose, tables, tick))
                .time(time)
                .Build());
}

void RenewLease(std::uint64_t lease, const KvPurpose& purpose,
                SchedulerTables& tables, SchedulerTick& tick) {
  tick.Emit(KvRenewLease::Builder()
                .ticket(OpenCall(purpose, tables, tick))
                .lease(lease)
                .Build());
}

KvPut PutOf(std::string key, KvRecord record, std::uint64_t lease) {
  return KvPut::Builder()
      .key(std::move(key))
      .record(std::move(record))
      .lease(lease)
      .Build();
}

}  // namespace quetzalline
