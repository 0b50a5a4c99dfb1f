#include "systems/cell/validate_record.h"

#include <algorithm>

#include "core/limits.h"
#include "core/overloaded.h"
#include "systems/cell/cell_keys.h"
#include "systems/cell/validate_definition.h"

namespace quetzalline {
namespace {

bool IsJobKey(std::string_view key, std::string_view prefix) {
  return ParseJobId(StripPrefix(key, prefix)).has_value();
}

std::optional<std::string> ValidateQueue(const JobQueue& queue) {
  // Also refuses a value that is not a number.
  const bool in_range =
      queue.stretch() >= 0.0 && queue.stretch() <= kMaxStretch;
  if (!in_range) return "stretch: out of range";
  const Duration max_objective = std::chrono::milliseconds(kMaxDurationMs);
  if (queue.objective() < Duration() || queue.objective() > max_objective) {
    return "objective: out of range";
  }
  return std::nullopt;
}

std::optional<std::string> ValidateJobRecord(const JobRecord& job) {
  if (job.accepted_ms() < 0 || job.accepted_ms() > kMaxUnixMs) {
    return "accepted_ms: out of range";
  }
  if (auto error = ValidateQueue(*job.queue())) return error;
  return ValidateDefinition(*job.definition());
}

bool IsRunNumber(std::int64_t run) {
  return run >= 0 && run <= kMaxSequenceNumber;
}

bool HasValidCrashes(const TaskProgress& task) {
  const bool in_range = std::all_of(
      task.crashed_runs().begin(), task.crashed_runs().end(),
      [](const CrashedRun& crashed) { return IsRunNumber(crashed.run()); });
  return in_range && (!task.isolated() || IsRunNumber(task.isolated()->run()));
}

std::optional<std::string> ValidateProgress(const JobProgress& progress) {
  const bool in_range = std::all_of(
      progress.tasks().begin(), progress.tasks().end(),
      [](const TaskProgress& task) { return IsRunNumber(task.last_run()); });
  if (!in_range) return "last_run: out of range";
  if (!std::all_of(progress.tasks().begin(), progress.tasks().end(),
                   HasValidCrashes)) {
    return "crashed_runs: out of range";
  }
  return std::nullopt;
}

std::optional<std::string> ValidateHandover(const WorkerHandover& handover) {
  const Duration longest = std::chrono::milliseconds(kMaxDurationMs);
  if (handover.epoch() <= 0) return "epoch: out of range";
  if (handover.remaining() < Duration() || handover.remaining() > longest) {
    return "remaining: out of range";
  }
  return std::nullopt;
}

std::optional<std::string> WrongKind() { return "a record of another kind"; }

}  // namespace

std::optional<std::string> ValidateRecord(std::string_view key,
                                          const KvsRecord& record) {
  return std::visit(
      Overloaded{
          [&](const JobRecord& job) {
            if (!IsJobKey(key, kJobPrefix)) return WrongKind();
            return ValidateJobRecord(job);
          },
          [&](const JobProgress& progress) {
            if (!ParseProgressKey(key)) return WrongKind();
            return ValidateProgress(progress);
          },
          [&](const HolderRecord&) -> std::optional<std::string> {
            if (key != kHolderKey && key != kEpochKey) return WrongKind();
            return std::nullopt;
          },
          [&](const MemberRecord&) -> std::optional<std::string> {
            const bool named = !StripPrefix(key, kMemberPrefix).empty() ||
                               !StripPrefix(key, kConfirmedLostPrefix).empty();
            if (!named) return WrongKind();
            return std::nullopt;
          },
          [&](const WorkerHandover& handover) -> std::optional<std::string> {
            if (StripPrefix(key, kHandoverPrefix).empty()) return WrongKind();
            return ValidateHandover(handover);
          },
          [&](const SchedulerConfiguration&) -> std::optional<std::string> {
            if (key != kConfigurationKey) return WrongKind();
            return std::nullopt;
          },
      },
      record);
}

}  // namespace quetzalline
