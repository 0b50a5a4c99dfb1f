#ifndef QUETZALLINE_TABLES_RECORD_UNIT_H_
#define QUETZALLINE_TABLES_RECORD_UNIT_H_

#include <variant>

#include "tables/job_record_unit.h"
#include "tables/member_record_unit.h"

namespace quetzalline {

/// Records that are always committed together, and that the store may reject
/// for a fault of their own.
using RecordUnit = std::variant<JobRecordUnit, MemberRecordUnit>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_RECORD_UNIT_H_
