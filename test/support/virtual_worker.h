#ifndef QUETZALLINE_TEST_SUPPORT_VIRTUAL_WORKER_H_
#define QUETZALLINE_TEST_SUPPORT_VIRTUAL_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/tick.h"
#include "core/worker_description.h"
#include "messages/worker_announced.h"
#include "messages/worker_answer.h"
#include "messages/worker_poll.h"
#include "messages/worker_start.h"
#include "messages/worker_stop.h"
#include "messages/worker_throttle.h"
#include "support/event_queue.h"
#include "support/task_log.h"

namespace quetzalline {

/// A worker in virtual time. It runs tasks under a lease on its own clock and a
/// fence, lists their ends until they are noted, and may leave orders without
/// an answer and carry them out late.
class VirtualWorker {
 public:
  using Answer = std::function<void(const WorkerAnswer&)>;
  /// Declared needs of a task, by which room is counted and time is taken.
  using Needs = std::function<JobStep(const TaskKey&)>;

  VirtualWorker(EventQueue& events, TaskLog& log, std::string name, Needs needs,
                std::uint64_t seed);

  void Perform(const WorkerStart& call, Answer answer);
  void Perform(const WorkerStop& call, Answer answer);
  void Perform(const WorkerThrottle& call, Answer answer);
  void Perform(const WorkerPoll& call, Answer answer);

  /// What the worker says of itself now.
  WorkerAnnounced Announce();
  void Crash();
  void Restart();
  void SetDraining(bool draining) { draining_ = draining; }
  void SetLatePercent(int percent) { late_percent_ = percent; }
  void SetFailPercent(int percent) { fail_percent_ = percent; }
  bool alive() const { return alive_; }
  std::size_t running() const { return runs_.size(); }

 private:
  struct Run {
    std::int64_t run_ = 0;
    std::uint64_t life_ = 0;
    std::string spec_;
  };
  struct Waiting {
    std::uint64_t call_;
    Answer answer_;
  };

  void Order(std::uint64_t call, const std::string& worker, std::int64_t fence,
             Answer answer, std::function<WorkerCallOutcome(bool late)> work);
  WorkerCallOutcome DoStart(const WorkerStart& call, bool late);
  WorkerCallOutcome DoStop(const WorkerStop& call);
  void End(const TaskKey& task, RunOutcome outcome);
  void ExtendLease(std::int64_t lease_end_ms);
  void CheckLease();
  std::int64_t ClockMs() const;
  WorkerAnswer Listing(std::uint64_t call, WorkerCallOutcome verdict) const;
  void ForgetEnds(std::int64_t last_seen);
  void WakeHolds();

  EventQueue& events_;
  TaskLog& log_;
  std::string name_;
  Needs needs_;
  Random random_;
  std::int64_t born_ms_ = 0;
  Instant born_at_;
  std::uint64_t life_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t lease_end_ms_ = 0;
  std::map<TaskKey, Run> runs_;
  std::map<TaskKey, std::int64_t> last_runs_;
  std::map<std::int64_t, RunEnd> ends_;
  /// How often the lease had run out when each end was listed.
  std::map<std::int64_t, int> lapses_at_end_;
  int lapses_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::uint64_t, Waiting> holds_;
  bool alive_ = true;
  bool draining_ = false;
  int late_percent_ = 0;
  int fail_percent_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_VIRTUAL_WORKER_H_
