#ifndef QUETZALLINE_SYSTEMS_ENTRY_RUN_COMMANDS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_RUN_COMMANDS_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Starts operators' commands. A command that changes durable state waits in
/// the command table until the store has answered.
void RunCommands(const EntryInbox& inbox, EntryTables& tables, EntryTick& tick);

/// Sends an operator the result of a command and removes the command from its
/// table.
void AnswerCommand(std::uint64_t id, const CommandResult& result,
                   EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_RUN_COMMANDS_H_
