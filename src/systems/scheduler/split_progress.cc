#include "systems/scheduler/split_progress.h"

#include <algorithm>
#include <utility>

#include "systems/cell/cell_keys.h"
#include "systems/scheduler/track_jobs.h"

namespace quetzalline {
namespace {

// Bytes of checkpoints in one part, four times those of checkpoints of 16
// digits. A task whose checkpoint is left out starts from its beginning after
// the loss of both its worker and the holder.
constexpr std::size_t kMaxCheckpointBytes = std::size_t{64} << 10;

// Returns the numbers of the first tasks of the steps within an occurrence,
// and, last, the number of its tasks.
std::vector<std::size_t> StepOffsets(const JobDefinition& definition) {
  std::vector<std::size_t> offsets{0};
  for (const JobStep& step : definition.steps()) {
    offsets.push_back(offsets.back() + static_cast<std::size_t>(step.count()));
  }
  return offsets;
}

std::size_t PartOf(const TaskProgress& task,
                   const std::vector<std::size_t>& offsets) {
  const std::size_t number =
      static_cast<std::size_t>(task.occurrence()) * offsets.back() +
      offsets[static_cast<std::size_t>(task.step())] +
      static_cast<std::size_t>(task.index());
  return number / kTasksPerProgressPart;
}

}  // namespace

std::size_t CountProgressParts(const JobDefinition& definition) {
  const std::size_t occurrences =
      static_cast<std::size_t>(std::max(definition.repeat_count(), 1));
  const std::size_t tasks = occurrences * StepOffsets(definition).back();
  return std::max<std::size_t>(
      (tasks + kTasksPerProgressPart - 1) / kTasksPerProgressPart, 1);
}

std::vector<JobProgress> SplitProgress(const JobProgress& progress,
                                       const JobDefinition& definition,
                                       CheckpointUse checkpoints) {
  if (IsFinalState(progress.state())) return {progress};
  const std::vector<std::size_t> offsets = StepOffsets(definition);
  std::vector<std::vector<TaskProgress>> tasks(CountProgressParts(definition));
  std::vector<std::size_t> checkpoint_bytes(tasks.size());
  const std::size_t limit =
      checkpoints == CheckpointUse::kNone ? 0 : kMaxCheckpointBytes;
  for (const TaskProgress& task : progress.tasks()) {
    const std::size_t part = PartOf(task, offsets);
    const std::size_t bytes = task.checkpoint().size();
    if (checkpoint_bytes[part] + bytes > limit) {
      tasks[part].push_back(TaskProgress::Builder(task).checkpoint("").Build());
      continue;
    }
    checkpoint_bytes[part] += bytes;
    tasks[part].push_back(task);
  }
  std::vector<JobProgress> parts;
  for (std::vector<TaskProgress>& some : tasks) {
    JobProgress::Builder part;
    if (parts.empty()) part.state(progress.state());
    parts.push_back(part.tasks(std::move(some)).Build());
  }
  return parts;
}

JobProgress MergeProgress(const std::map<std::size_t, JobProgress>& parts) {
  const auto first = parts.find(0);
  JobProgress::Builder merged;
  if (first != parts.end()) merged.state(first->second.state());
  std::vector<TaskProgress> tasks;
  for (const auto& [number, part] : parts) {
    tasks.insert(tasks.end(), part.tasks().begin(), part.tasks().end());
  }
  return merged.tasks(std::move(tasks)).Build();
}

}  // namespace quetzalline
