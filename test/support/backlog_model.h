#ifndef QUETZALLINE_TEST_SUPPORT_BACKLOG_MODEL_H_
#define QUETZALLINE_TEST_SUPPORT_BACKLOG_MODEL_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "core/task_key.h"
#include "support/placement_fleet.h"

namespace quetzalline {

/// The platform calls a job lost that has nothing running for this long
/// although a task of it could run.
constexpr Duration kLostAfter = std::chrono::seconds(3);
/// What passes between the end of a job's last run and the next one's start
/// without any wait: handling the end, the next placement pass, the start.
constexpr Duration kReactionTime = std::chrono::milliseconds(300);

/// The times in which a job has nothing running although there is room for a
/// task of it by the platform's account. Such a time is called a gap.
struct JobGaps {
  /// The gap that lasts, or zero.
  Duration current_{};
  /// Gaps that have ended since there was last no room.
  int ended_ = 0;
  /// All gaps since there was last no room, each less the reaction time.
  Duration waited_{};

  /// The longest gap.
  Duration longest_{};
  /// The longest gap but the first since there was last no room.
  Duration longest_later_{};
  /// The highest value of waited_.
  Duration most_waited_{};
  /// Gaps longer than the reaction time.
  int waits_ = 0;
};

/// Virtual time for the tables of a holder: runs of tasks start, share the CPU
/// of their worker and end. A worker starts a task 40 ms after its placement,
/// and the holder handles the end of a run 60 ms after it.
class BacklogModel {
 public:
  BacklogModel(int workers, unsigned seed) : fleet_(workers), random_(seed) {}

  PlacementFleet& fleet() { return fleet_; }

  /// Adds a job of best-effort steps. Each task has work for 1 to 2 seconds.
  std::uint64_t AddJob(const std::vector<JobStep>& steps,
                       std::int32_t priority = 0);

  /// Runs until no job is left, or until the time is over.
  void RunFor(Duration time);

  /// Returns what the jobs have waited, by their number.
  const std::map<std::uint64_t, JobGaps>& gaps() const { return gaps_; }
  /// Returns the times from the beginning to the end of each job that is over.
  const std::map<std::uint64_t, Duration>& completions() const {
    return completions_;
  }
  /// Returns the number of jobs that are not over.
  std::size_t jobs_left() const { return tasks_left_.size(); }
  /// Returns how often memory, GPUs or reserved CPU of a worker were found
  /// overcommitted.
  int overcommitted() const { return overcommitted_; }
  /// Returns the highest CPU of best-effort tasks on a worker, in percent.
  std::int64_t highest_percent() const { return highest_percent_; }
  /// Returns the CPU time of all work, in millicore-seconds.
  double total_work() const { return total_work_; }

 private:
  struct Run {
    MemberName worker_;
    std::int64_t number_ = 0;
    Instant starts_at_;
    /// Work at full speed that is left.
    Duration left_{};
    /// Time at which the holder hears of the end; set once it has ended.
    std::optional<Instant> heard_at_;
  };

  bool IsRunning(const Run& run) const {
    return fleet_.now() >= run.starts_at_ && !run.heard_at_;
  }
  void Step();
  void Work();
  void EndRuns();
  void HandleEnds();
  void Place();
  void UpdateGaps();
  void CheckCapacity();
  bool HasRoom(std::uint64_t job);

  PlacementFleet fleet_;
  std::mt19937 random_;
  std::map<TaskKey, Run> runs_;
  /// Tasks of each job that have not ended; none of a job that is over.
  std::map<std::uint64_t, std::int32_t> tasks_left_;
  std::map<std::uint64_t, JobGaps> gaps_;
  std::map<std::uint64_t, Duration> completions_;
  int overcommitted_ = 0;
  std::int64_t highest_percent_ = 0;
  double total_work_ = 0.0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_BACKLOG_MODEL_H_
