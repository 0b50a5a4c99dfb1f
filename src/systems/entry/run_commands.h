#ifndef QUETZALLINE_SYSTEMS_ENTRY_RUN_COMMANDS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_RUN_COMMANDS_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Starts operators' commands. Those that change something durable wait in the
/// command table until the store has answered.
void RunCommands(const EntryInbox& inbox, EntryTables& tables, EntryTick& tick);

/// Ends an operator's command.
void AnswerCommand(std::uint64_t id, const CommandResult& result,
                   EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_RUN_COMMANDS_H_
