#ifndef QUETZALLINE_SYSTEMS_ENTRY_REPORT_STATUS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_REPORT_STATUS_H_

#include "messages/status_report.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// What operators see at a glance: endpoints, services in force, jobs.
StatusReport ReportStatus(const EntryTables& tables, Instant now);

/// The published name of a task's state.
std::string StateName(const Task& task);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_REPORT_STATUS_H_
