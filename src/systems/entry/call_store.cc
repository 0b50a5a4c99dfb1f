#include "systems/entry/call_store.h"

namespace quetzalline {
namespace {

std::uint64_t OpenCall(const StorePurpose& purpose, EntryTables& tables,
                       EntryTick& tick) {
  const std::uint64_t ticket = ++tables.last_ticket_;
  tick.counters().Add(Counter::kStoreCalls);
  tables.store_calls_.Put(
      ticket,
      PendingStoreCall::Builder().ticket(ticket).purpose(purpose).Build());
  return ticket;
}

}  // namespace

void ReadStore(const std::string& prefix, const StorePurpose& purpose,
               EntryTables& tables, EntryTick& tick) {
  const std::uint64_t ticket = OpenCall(purpose, tables, tick);
  tick.Emit(StoreRead::Builder().ticket(ticket).prefix(prefix).Build());
}

void WatchStore(const std::string& prefix, std::int64_t after,
                const StorePurpose& purpose, EntryTables& tables,
                EntryTick& tick) {
  const std::uint64_t ticket = OpenCall(purpose, tables, tick);
  tick.Emit(
      StoreWatch::Builder().ticket(ticket).prefix(prefix).after(after).Build());
}

void WriteStore(const std::string& key, const StoreRecord& record,
                std::int64_t expected, const StorePurpose& purpose,
                EntryTables& tables, EntryTick& tick) {
  const std::uint64_t ticket = OpenCall(purpose, tables, tick);
  tick.Emit(StoreWrite::Builder()
                .ticket(ticket)
                .key(key)
                .record(record)
                .expected(expected)
                .Build());
}

}  // namespace quetzalline
