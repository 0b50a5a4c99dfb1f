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
#include "support/job_invariant_log.h"
#include "support/task_crash.h"
#include "support/worker_room.h"

namespace quetzalline {

/// Simulates a worker in virtual time. It runs tasks under a lease on its own,
/// slow clock and under a fencing token, lists the ends of runs until they are
/// acknowledged, and may let commands time out and execute them late.
class VirtualWorker {
 public:
  using Answer = std::function<void(const WorkerAnswer&)>;
  /// Returns the step of a task, whose declared resources count against the
  /// capacity and whose estimate is the run time.
  using StepLookup = std::function<JobStep(const TaskKey&)>;
  /// Returns how the runs of a task crash the worker; empty if they do not.
  using CrashLookup = std::function<std::optional<TaskCrash>(const TaskKey&)>;

  VirtualWorker(EventQueue& events, JobInvariantLog& log, std::string name,
                StepLookup step_lookup, CrashLookup crash_lookup,
                std::uint64_t seed);

  void Perform(const WorkerStart& call, Answer answer);
  void Perform(const WorkerStop& call, Answer answer);
  void Perform(const WorkerThrottle& call, Answer answer);
  void Perform(const WorkerPoll& call, Answer answer);

  /// Returns the worker's announcement of itself.
  WorkerAnnounced Announce();
  /// Ends all runs and loses the state; restarting begins a new incarnation.
  void Crash();
  void Restart();
  /// Crashes the worker and restarts it after the downtime, unless it crashes
  /// or is replaced once more meanwhile.
  void CrashFor(Duration downtime);
  /// Replaces the worker by another one at the same address, whose clock gives
  /// its start as the given time, which may be before that of the last one.
  void Replace(const std::string& name, std::int64_t born_ms);
  std::int64_t born_ms() const { return born_ms_; }
  /// Changes the capacity. The runs keep what they have; the next announcement
  /// shows the new capacity.
  void SetRoom(const WorkerRoom& room);
  void SetDraining(bool draining) { draining_ = draining; }
  void SetZone(const AvailabilityZone& zone) { zone_ = zone; }
  /// Sets the percentage of commands that time out and are executed late.
  void SetLatePercent(int percent) { late_percent_ = percent; }
  /// Loses the answers to all calls, which are executed, or sends them again.
  void SetMute(bool mute) { mute_ = mute; }
  /// Lets the worker hang: it neither executes nor answers calls. Those that
  /// arrive are executed, unless they are void by then, when it goes on.
  void SetHung(bool hung);
  /// Sets the percentage of runs that fail.
  void SetFailPercent(int percent) { fail_percent_ = percent; }
  /// Loses the ends of runs that are stopped from now on, as a worker that
  /// forgets a run does: such a run is listed neither as running nor as ended.
  void SetForgetful(bool forgetful) { forgetful_ = forgetful; }
  bool alive() const { return alive_; }
  std::size_t running() const { return runs_.size(); }

 private:
  struct Run {
    std::int64_t run_ = 0;
    std::uint64_t incarnation_ = 0;
    std::string spec_;
  };
  struct EarlierRoom {
    WorkerRoom room_;
    Instant counts_until_;
  };
  struct PendingPoll {
    std::uint64_t call_;
    Answer answer_;
  };

  void Reply(const Answer& answer, const WorkerAnswer& result);
  void Hold(std::uint64_t call, const Answer& answer, Duration timeout,
            std::function<void()> execute);
  void ExecuteCommand(std::uint64_t call, const std::string& worker,
                      std::int64_t call_fence, Answer answer,
                      std::function<WorkerCallOutcome(bool late)> work);
  WorkerCallOutcome ApplyStart(const WorkerStart& call, bool late);
  WorkerCallOutcome ApplyStop(const WorkerStop& call);
  bool IsOverCapacity() const;
  void FinishRun(const TaskKey& task, RunOutcome outcome);
  void ForgetRun(const TaskKey& task);
  void ScheduleEnd(const RunKey& run);
  void ScheduleCrash(const RunKey& run, const TaskCrash& crash);
  bool IsRunning(const RunKey& run, std::uint64_t incarnation) const;
  void ExtendLease(std::int64_t lease_end_ms);
  void CheckLease();
  std::int64_t ClockMs() const;
  WorkerAnswer MakeListing(std::uint64_t call, WorkerCallOutcome verdict) const;
  void DropAcknowledgedEnds(std::int64_t last_seen);
  void AnswerPolls();

  EventQueue& events_;
  JobInvariantLog& log_;
  std::string name_;
  StepLookup step_lookup_;
  CrashLookup crash_lookup_;
  Random random_;
  WorkerRoom room_;
  /// Capacities that still count, since they were announced.
  std::vector<EarlierRoom> earlier_rooms_;
  std::int64_t born_ms_ = 0;
  Instant started_at_;
  std::uint64_t incarnation_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t lease_end_ms_ = 0;
  std::map<TaskKey, Run> runs_;
  std::map<TaskKey, std::int64_t> last_runs_;
  std::map<std::int64_t, RunEnd> ends_;
  /// Number of lease expiries before each listed end.
  std::map<std::int64_t, int> expiries_at_end_;
  int lease_expiries_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::uint64_t, PendingPoll> pending_polls_;
  bool alive_ = true;
  bool draining_ = false;
  AvailabilityZone zone_;
  bool mute_ = false;
  bool hung_ = false;
  /// Calls that arrived while the worker hung.
  std::vector<std::function<void()>> held_;
  int late_percent_ = 0;
  int fail_percent_ = 0;
  bool forgetful_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_VIRTUAL_WORKER_H_
