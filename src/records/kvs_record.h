#ifndef QUETZALLINE_RECORDS_KVS_RECORD_H_
#define QUETZALLINE_RECORDS_KVS_RECORD_H_

#include <variant>

#include "core/scheduler_configuration.h"
#include "records/holder_record.h"
#include "records/job_progress.h"
#include "records/job_record.h"
#include "records/member_record.h"
#include "records/worker_handover.h"

namespace quetzalline {

/// A record that the scheduler reads or writes in the key-value store of the
/// platform.
using KvsRecord =
    std::variant<JobRecord, JobProgress, HolderRecord, MemberRecord,
                 SchedulerConfiguration, WorkerHandover>;

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_KVS_RECORD_H_
