#ifndef QUETZALLINE_SYSTEMS_ENTRY_REPORT_STATUS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_REPORT_STATUS_H_

#include "messages/status_report.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Builds the status report for operators: endpoints, services in force and
/// jobs.
StatusReport ReportStatus(const EntryTables& tables, Instant now);

/// Returns the published name of a task's state.
std::string StateName(const Task& task);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_REPORT_STATUS_H_
