#include "systems/entry/run_commands.h"

#include "core/overloaded.h"
#include "systems/entry/hand_in_jobs.h"
#include "systems/entry/publish_services.h"
#include "systems/entry/report_status.h"
#include "systems/entry/send_message.h"

namespace quetzalline {
namespace {

void Drain(std::uint64_t id, const DrainCommand& command, EntryTables& tables,
           EntryTick& tick) {
  const Endpoint* row = tables.endpoints_.Find(command.endpoint());
  if (row == nullptr || !row->reachable()) {
    const CommandRefused refused = CommandRefused::Builder()
                                       .reason(Reason::kUnknownEndpoint)
                                       .detail(command.endpoint().value())
                                       .Build();
    return AnswerCommand(id, refused, tables, tick);
  }
  SendMessage(row->connection(),
              DrainEndpoint::Builder().undo(command.undo()).Build(), tick);
  AnswerCommand(id,
                DrainAccepted::Builder().endpoint(command.endpoint()).Build(),
                tables, tick);
}

void RunCommand(const OperatorCommand& input, EntryTables& tables,
                EntryTick& tick) {
  const std::uint64_t id = input.id();
  const Overloaded run{
      [&](const PublishService& c) { StartPublication(id, c, tables, tick); },
      [&](const SubmitJob& c) { SubmitJobRequest(id, c, tables, tick); },
      [&](const CancelJob& c) { HandInCancellation(id, c, tables, tick); },
      [&](const DrainCommand& c) { Drain(id, c, tables, tick); },
      [&](const ReadStatus&) {
        AnswerCommand(id, ReportStatus(tables, tick.now()), tables, tick);
      },
  };
  std::visit(run, input.command());
}

}  // namespace

void AnswerCommand(std::uint64_t id, const CommandResult& result,
                   EntryTables& tables, EntryTick& tick) {
  tables.commands_.Erase(id);
  if (const auto* refused = std::get_if<CommandRefused>(&result)) {
    tick.counters().Add(Counter::kCommandsRefused, refused->reason());
  }
  tick.Emit(AnswerOperator::Builder().id(id).result(result).Build());
}

void RunCommands(const EntryInbox& inbox, EntryTables& tables,
                 EntryTick& tick) {
  for (const OperatorCommand& input : inbox.commands_) {
    RunCommand(input, tables, tick);
  }
}

}  // namespace quetzalline
