#ifndef QUETZALLINE_RECORDS_JOURNAL_RECORD_H_
#define QUETZALLINE_RECORDS_JOURNAL_RECORD_H_

#include <variant>

#include "records/cell_sealed.h"
#include "records/job_cancellation.h"
#include "records/task_accepted.h"
#include "records/task_assigned.h"
#include "records/task_ended.h"

namespace quetzalline {

/// A record in the journal of a cell.
using JournalRecord = std::variant<CellSealed, TaskAccepted, TaskAssigned,
                                   TaskEnded, JobCancellation>;

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_JOURNAL_RECORD_H_
