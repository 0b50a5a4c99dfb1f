#include "systems/scheduler/call_kvs.h"

#include <utility>

#include "systems/cell/log_fields.h"

namespace quetzalline {
namespace {

// Registers a call to the store and returns its ticket, by which the answer is
// matched.
std::uint64_t RegisterCall(const KvsPurpose& purpose, SchedulerTables& tables,
                           SchedulerTick& tick) {
  const std::uint64_t ticket = ++tables.last_ticket_;
  tick.counters().Add(Counter::kStoreCalls);
  tables.store_calls_.Put(ticket, KvsPending::Builder()
                                      .purpose(purpose)
                                      .term(tables.term_number_)
                                      .sent_at(tick.now())
                                      .Build());
  return ticket;
}

}  // namespace

void GetKey(std::string_view key, const KvsPurpose& purpose,
            SchedulerTables& tables, SchedulerTick& tick) {
  tick.Emit(KvsGet::Builder()
                .ticket(RegisterCall(purpose, tables, tick))
                .key(std::string(key))
                .Build());
}

void ListKeys(std::string_view prefix, const KvsPurpose& purpose,
              SchedulerTables& tables, SchedulerTick& tick) {
  tick.Emit(KvsList::Builder()
                .ticket(RegisterCall(purpose, tables, tick))
                .prefix(std::string(prefix))
                .Build());
}

void WatchKeys(std::string_view prefix, std::int64_t after, Duration wait,
               const KvsPurpose& purpose, SchedulerTables& tables,
               SchedulerTick& tick) {
  tick.Emit(KvsWatch::Builder()
                .ticket(RegisterCall(purpose, tables, tick))
                .prefix(std::string(prefix))
                .after(after)
                .wait(wait)
                .Build());
}

void CommitKeys(std::vector<KvsPrecondition> expectations,
                std::vector<KvsPut> puts, std::vector<std::string> removals,
                const KvsPurpose& purpose, SchedulerTables& tables,
                SchedulerTick& tick) {
  tick.Emit(KvsCommit::Builder()
                .ticket(RegisterCall(purpose, tables, tick))
                .expectations(std::move(expectations))
                .puts(std::move(puts))
                .removals(std::move(removals))
                .Build());
}

void OpenLease(Duration time, const KvsPurpose& purpose,
               SchedulerTables& tables, SchedulerTick& tick) {
  tick.Emit(KvsOpenLease::Builder()
                .ticket(RegisterCall(purpose, tables, tick))
                .time(time)
                .Build());
}

void RenewLease(std::uint64_t lease, const KvsPurpose& purpose,
                SchedulerTables& tables, SchedulerTick& tick) {
  tick.Emit(KvsRenewLease::Builder()
                .ticket(RegisterCall(purpose, tables, tick))
                .lease(lease)
                .Build());
}

KvsPut MakePut(std::string key, KvsRecord record, std::uint64_t lease) {
  return KvsPut::Builder()
      .key(std::move(key))
      .record(std::move(record))
      .lease(lease)
      .Build();
}

const HolderRecord* HolderRecordIn(const KvsItems& read) {
  if (read.items().empty() || !read.items().front().record()) return nullptr;
  return std::get_if<HolderRecord>(&*read.items().front().record());
}

void ReportOddItem(const KvsItem& item, SchedulerTick& tick) {
  tick.counters().Add(Counter::kBadInputs);
  LogLine(tick, "stored-value-odd", 0,
          {Field("key", item.key()), Field("revision", item.revision())});
}

}  // namespace quetzalline
