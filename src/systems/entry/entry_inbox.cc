#include "systems/entry/entry_inbox.h"

#include "core/overloaded.h"

namespace quetzalline {
namespace {

void SortMessage(const AgentMessageReceived& input, EntryInbox& inbox) {
  const ConnectionId from = input.connection();
  const Overloaded sort{
      [&](const Announce& m) {
        inbox.announces_.push_back({from, m});
      },
      [&](const Answer& m) {
        inbox.answers_.push_back({from, m});
      },
      [&](const TaskReport& m) {
        inbox.task_reports_.push_back({from, m});
      },
  };
  std::visit(sort, input.message());
}

void PairStoreAnswer(const StoreAnswer& answer, StoreCallTable& calls,
                     EntryInbox& inbox) {
  const PendingStoreCall* call = calls.Find(answer.ticket());
  if (call == nullptr) return;
  inbox.completed_store_calls_.push_back({call->purpose(), answer.result()});
  calls.Erase(answer.ticket());
}

}  // namespace

EntryInbox SortEntryInputs(std::span<const EntryInput> inputs,
                           StoreCallTable& calls) {
  EntryInbox inbox;
  const Overloaded sort{
      [&](const CallerRequest& i) { inbox.requests_.push_back(i); },
      [&](const CallerDisconnected& i) {
        inbox.disconnected_callers_.push_back(i.id());
      },
      [&](const OperatorCommand& i) { inbox.commands_.push_back(i); },
      [](const ConnectionOpened&) {},
      [&](const ConnectionClosed& i) {
        inbox.closed_connections_.push_back(i.connection());
      },
      [&](const AgentMessageReceived& i) { SortMessage(i, inbox); },
      [&](const StoreAnswer& i) { PairStoreAnswer(i, calls, inbox); },
      [&](const StopRequested&) { inbox.stop_requested_ = true; },
  };
  for (const EntryInput& input : inputs) std::visit(sort, input);
  return inbox;
}

}  // namespace quetzalline
