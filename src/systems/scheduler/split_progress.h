#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_SPLIT_PROGRESS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_SPLIT_PROGRESS_H_

#include <cstddef>
#include <map>
#include <vector>

#include "core/job_definition.h"
#include "records/job_progress.h"

namespace quetzalline {

/// What a part of a job's progress contains of the checkpoints of its tasks.
/// The store limits the size of a value, and workers choose that of a
/// checkpoint.
enum class CheckpointUse : std::uint8_t { kUpToLimit, kNone };

/// Returns the number of parts in which the progress of the job is stored.
std::size_t CountProgressParts(const JobDefinition& definition);

/// Splits the progress of a job into the parts that are stored under keys of
/// their own. The first part has the state of the job. A job that has ended has
/// one part.
std::vector<JobProgress> SplitProgress(const JobProgress& progress,
                                       const JobDefinition& definition,
                                       CheckpointUse checkpoints);

/// Puts the stored parts of a job's progress together, by number. Parts that
/// are missing have no progress.
JobProgress MergeProgress(const std::map<std::size_t, JobProgress>& parts);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_SPLIT_PROGRESS_H_
