#include "systems/entry/watch_configuration.h"

#include "core/overloaded.h"
#include "systems/entry/call_store.h"
#include "systems/entry/store_keys.h"

namespace quetzalline {
namespace {

void ApplyItem(const StoreItem& item, ServiceTable& services, EntryTick& tick) {
  const auto* service = std::get_if<PublishedService>(&*item.record());
  if (service == nullptr) return;
  const PublishedService published =
      PublishedService::Builder(*service).revision(item.index()).Build();
  if (!services.Apply(published)) return;
  tick.Emit(LogChange::Builder()
                .event("configuration-in-force")
                .subject(published.file().name().value())
                .Build());
}

void ApplyValues(const StoreValues& values, EntryTables& tables,
                 EntryTick& tick) {
  for (const StoreItem& item : values.items()) {
    ApplyItem(item, tables.services_, tick);
  }
  tables.services_.RaiseRevision(values.index());
}

void StartWatch(EntryTables& tables, EntryTick& tick) {
  tables.next_configuration_read_.reset();
  WatchStore(ConfigurationPrefix(), tables.services_.revision(),
             ConfigurationWatch(), tables, tick);
}

void RetryLater(EntryTables& tables, EntryTick& tick) {
  tick.counters().Add(Counter::kStoreFailures);
  tables.next_configuration_read_ = tick.now() + tables.policy_.store_retry();
}

void HandleWatchResult(const StoreResult& result, EntryTables& tables,
                       EntryTick& tick) {
  const Overloaded handle{
      [&](const StoreValues& values) {
        ApplyValues(values, tables, tick);
        StartWatch(tables, tick);
      },
      [&](const StoreFailed&) { RetryLater(tables, tick); },
      [](const StoreWritten&) {},
      [](const StoreConflict&) {},
  };
  std::visit(handle, result);
}

}  // namespace

void WatchConfiguration(const EntryInbox& inbox, EntryTables& tables,
                        EntryTick& tick) {
  for (const CompletedStoreCall& call : inbox.completed_store_calls_) {
    if (!std::holds_alternative<ConfigurationWatch>(call.purpose_)) continue;
    HandleWatchResult(call.result_, tables, tick);
  }
  const bool due = tables.next_configuration_read_ &&
                   *tables.next_configuration_read_ <= tick.now();
  if (due) StartWatch(tables, tick);
  tick.WakeAt(tables.next_configuration_read_);
}

}  // namespace quetzalline
