#ifndef QUETZALLINE_SYSTEMS_ENTRY_ACKNOWLEDGE_RECORD_H_
#define QUETZALLINE_SYSTEMS_ENTRY_ACKNOWLEDGE_RECORD_H_

#include "records/journal_record.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Reports that a record is durable: waiting operators receive their answers,
/// and agents are allowed to discard the task ends that they reported.
void AcknowledgeRecord(const JournalRecord& record, EntryTables& tables,
                       EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_ACKNOWLEDGE_RECORD_H_
