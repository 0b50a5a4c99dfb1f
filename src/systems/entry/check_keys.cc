#include "systems/entry/check_keys.h"

#include "systems/entry/conclude_request.h"

namespace quetzalline {
namespace {

void TakeReply(const KeyRemembered& reply, EntryTables& tables,
               EntryTick& tick) {
  const Request* row = tables.requests_.Find(reply.request());
  if (row == nullptr) return;
  if (!std::holds_alternative<CheckingKey>(row->state())) return;
  const Request request = *row;
  if (reply.reason() == Reason::kTableFull) {
    const NotRun full = NotRun::Builder().reason(Reason::kTableFull).Build();
    return ConcludeRequest(request, full, tables, tick);
  }
  tables.requests_.Put(
      Request::Builder(request)
          .witnessed(true)
          .repeated(reply.reason() == Reason::kKeyConflict)
          .state(ToTry::Builder().not_before(tick.now()).Build())
          .Build());
}

}  // namespace

void CheckKeys(const EntryInbox& inbox, EntryTables& tables, EntryTick& tick) {
  for (const Received<KeyRemembered>& received : inbox.keys_remembered_) {
    TakeReply(received.message_, tables, tick);
  }
}

}  // namespace quetzalline
