#ifndef QUETZALLINE_TEST_SUPPORT_PLACEMENT_FLEET_H_
#define QUETZALLINE_TEST_SUPPORT_PLACEMENT_FLEET_H_

#include <string>
#include <vector>

#include "systems/scheduler/estimate_interference.h"
#include "systems/scheduler/place_runs.h"
#include "systems/scheduler/track_jobs.h"
#include "systems/scheduler/track_workers.h"

namespace quetzalline {

constexpr Instant kFleetNow = Instant(std::chrono::seconds(100));
/// CPU capacity of each worker, in millicores.
constexpr std::int64_t kFleetMillicores = 64'000;

/// Holds the tables of a holder (of the cell's leader lease) and its workers,
/// without a store or a network.
class PlacementFleet {
 public:
  explicit PlacementFleet(int workers) : random_(1) {
    tables_.stage_ = HolderActing::Builder().since(kFleetNow).Build();
    tables_.term_ = HolderTerm::Builder()
                        .epoch(1)
                        .settled(true)
                        .confirmed_at(kFleetNow)
                        .Build();
    tables_.last_tick_ = kFleetNow;
    tables_.attention_ = kFleetNow;
    // All that a test places fits into one tick.
    tables_.starts_per_tick_ = 10'000;
    for (int i = 0; i < workers; ++i) AddWorker(Name(i), i);
  }

  static MemberName Name(int worker) {
    return MemberName("agent-" + std::to_string(worker));
  }

  /// Adds a job with one step whose tasks have been ready for the given time.
  /// Returns its number.
  std::uint64_t AddJob(const JobStep& step,
                       Duration waiting_time = Duration()) {
    const std::uint64_t job = ++last_job_;
    const JobDefinition definition =
        JobDefinition::Builder().spec("spec").steps({step}).Build();
    tables_.jobs_.Put(
        job,
        JobRow::Builder()
            .record(JobRecord::Builder().definition(definition).Build())
            .queue(JobQueue::Builder().service(ServiceName("service")).Build())
            .accepted_at(now_ - waiting_time)
            .due(now_ + std::chrono::seconds(10))
            .stored(true)
            .Build());
    for (std::int32_t i = 0; i < step.count(); ++i) {
      tables_.tasks_.Put(Key(job, i), JobTask::Builder()
                                          .stage(TaskStage::kReady)
                                          .step(step)
                                          .ready_since(now_ - waiting_time)
                                          .Build());
    }
    tables_.placement_due_ = true;
    return job;
  }

  /// Adds a job of several steps, which waits for its deadline as long as
  /// allowed. The tasks of the steps after no other are ready. Returns its
  /// number.
  std::uint64_t AddJobOfSteps(const std::vector<JobStep>& steps,
                              std::int32_t priority, Duration allowed) {
    const std::uint64_t job = ++last_job_;
    std::int32_t tasks = 0;
    for (std::size_t number = 0; number < steps.size(); ++number) {
      const JobStep& step = steps[number];
      tasks += step.count();
      const auto position = static_cast<std::int32_t>(number);
      tables_.steps_.Put(StepKey::Builder().job(job).step(position).Build(),
                         StepRow::Builder().left(step.count()).Build());
      for (std::int32_t i = 0; i < step.count(); ++i) {
        tables_.tasks_.Put(
            TaskKey::Builder().job(job).step(position).index(i).Build(),
            JobTask::Builder().stage(TaskStage::kBlocked).step(step).Build());
      }
    }
    const JobDefinition definition =
        JobDefinition::Builder().spec("spec").steps(steps).Build();
    tables_.jobs_.Put(
        job, JobRow::Builder()
                 .record(JobRecord::Builder().definition(definition).Build())
                 .queue(JobQueue::Builder()
                            .service(ServiceName("service"))
                            .priority(priority)
                            .Build())
                 .accepted_at(now_)
                 .due(now_ + allowed)
                 .stored(true)
                 .tasks_left(tasks)
                 .Build());
    UnlockSteps(job, 0, now_, tables_);
    return job;
  }

  /// Adds a job whose tasks were assigned to the worker 60 seconds ago. Returns
  /// its number.
  std::uint64_t AddRunning(const JobStep& step, int worker) {
    const std::uint64_t job = AddJob(step);
    for (std::int32_t i = 0; i < step.count(); ++i) {
      tables_.tasks_.Put(Key(job, i),
                         JobTask::Builder()
                             .stage(TaskStage::kAssigned)
                             .step(step)
                             .worker(Name(worker))
                             .run(1)
                             .assigned_at(now_ - std::chrono::seconds(60))
                             .Build());
    }
    return job;
  }

  /// Handles a report of the runner on the worker's instance and returns the
  /// effects.
  std::vector<SchedulerEffect> Report(int worker, const WorkerReport& report) {
    SchedulerTick tick(now_, random_, tables_.counters_);
    HandleReport(ConnectionId(static_cast<std::uint64_t>(worker) + 1), report,
                 tables_, tick);
    return tick.TakeEffects();
  }

  /// Lets time pass. All workers stay in touch.
  void Advance(Duration time) {
    now_ += time;
    tables_.last_tick_ = now_;
    tables_.attention_ = now_;
    tables_.term_ =
        HolderTerm::Builder(tables_.term_).confirmed_at(now_).Build();
    for (const auto& [name, worker] : tables_.workers_.Sorted()) {
      tables_.workers_.Put(name,
                           WorkerRow::Builder(worker).granted_at(now_).Build());
      tables_.members_.Put(name,
                           MemberRow::Builder(*tables_.members_.Find(name))
                               .heard_at(now_)
                               .heard_attention(now_)
                               .Build());
    }
  }

  /// Runs one placement pass.
  void Place() { PlaceAndTakeEffects(); }

  /// Runs one placement pass and returns its effects.
  std::vector<SchedulerEffect> PlaceAndTakeEffects() {
    SchedulerTick tick(now_, random_, tables_.counters_);
    tables_.placement_due_ = true;
    tables_.earliest_placement_ = now_;
    PlaceRuns(tables_, tick);
    return tick.TakeEffects();
  }

  /// Runs a system for one tick and returns its effects.
  template <typename System>
  std::vector<SchedulerEffect> Run(System&& system) {
    SchedulerTick tick(now_, random_, tables_.counters_);
    system(tables_, tick);
    return tick.TakeEffects();
  }

  /// Runs a system for one tick and returns the number of StopRun messages that
  /// it sent.
  template <typename System>
  std::size_t CountStopCommands(System&& system) {
    SchedulerTick tick(now_, random_, tables_.counters_);
    system(tables_, tick);
    std::size_t stops = 0;
    for (const SchedulerEffect& effect : tick.TakeEffects()) {
      const auto* sent = std::get_if<SendToRunner>(&effect);
      if (sent == nullptr) continue;
      if (std::holds_alternative<StopRun>(sent->message())) ++stops;
    }
    return stops;
  }

  /// Records a sample of a worker that runs one best-effort image, with its CPU
  /// usage in millicores, and one service image, with its tail latency in
  /// percent of its target.
  void Observe(int worker, const std::string& best_effort_image,
               std::int64_t millicores, const std::string& service_image,
               std::int32_t tail_percent) {
    SchedulerTick tick(now_, random_, tables_.counters_);
    UpdateInterference(Name(worker),
                       InterferenceSample::Builder()
                           .tails({ImageTailLatency::Builder()
                                       .image(service_image)
                                       .percent(tail_percent)
                                       .Build()})
                           .fills({ImageCpuUsage::Builder()
                                       .image(best_effort_image)
                                       .millicores(millicores)
                                       .Build()})
                           .Build(),
                       tables_, tick);
  }

  std::size_t TasksOnWorker(int worker) const {
    return tables_.tasks_.TasksOnWorker(Name(worker)).size();
  }
  /// Returns the number of ready tasks in the job's first step.
  std::size_t Waiting(std::uint64_t job) const {
    const auto found =
        tables_.tasks_.ready().find(StepKey::Builder().job(job).Build());
    return found == tables_.tasks_.ready().end() ? 0 : found->second.size();
  }
  SchedulerTables& tables() { return tables_; }
  Instant now() const { return now_; }

 private:
  static TaskKey Key(std::uint64_t job, std::int32_t index) {
    return TaskKey::Builder().job(job).index(index).Build();
  }

  void AddWorker(const MemberName& name, int number) {
    const ConnectionId connection(static_cast<std::uint64_t>(number) + 1);
    tables_.members_.Put(
        name,
        MemberRow::Builder()
            .record(MemberRecord::Builder().role(MemberRole::kRunner).Build())
            .connection(connection)
            .heard_at(kFleetNow)
            .heard_attention(kFleetNow)
            .answered(true)
            .Build());
    tables_.connections_[connection] = name;
    tables_.workers_.Put(name, WorkerRow::Builder()
                                   .facts(WorkerDescription::Builder()
                                              .worker(name.value())
                                              .born_ms(1)
                                              .service(ServiceName("service"))
                                              .cpu(kFleetMillicores)
                                              .memory_mb(250'000)
                                              .Build())
                                   .listing(RunListing::kComplete)
                                   .reconciled(true)
                                   .granted_at(kFleetNow)
                                   .leased(true)
                                   .Build());
  }

  Random random_;
  Instant now_ = kFleetNow;
  SchedulerTables tables_;
  std::uint64_t last_job_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_PLACEMENT_FLEET_H_
