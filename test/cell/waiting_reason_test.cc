#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "messages/pending_count_reply.h"
#include "support/placement_fleet.h"
#include "systems/scheduler/admit_jobs.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPass = milliseconds(200);
// A refusal leads to the next pass after this time.
constexpr Duration kRefusalRoundTrip = milliseconds(40);
// The platform calls a job lost after 3 s without a run.
constexpr Duration kMaxWait = milliseconds(3000);

JobStep Service(std::int64_t cpu) {
  return JobStep::Builder()
      .count(1)
      .cpu(cpu)
      .memory_mb(1000)
      .long_running(true)
      .image("service")
      .target(milliseconds(100))
      .Build();
}

JobStep BestEffort(std::int32_t count, std::int64_t cpu) {
  return JobStep::Builder()
      .count(count)
      .cpu(cpu)
      .memory_mb(1000)
      .estimate(seconds(2))
      .image("batch")
      .fills(true)
      .Build();
}

JobStep Urgent(std::int32_t count, std::int64_t cpu) {
  return JobStep::Builder()
      .count(count)
      .cpu(cpu)
      .memory_mb(1000)
      .estimate(seconds(1))
      .Build();
}

// A fleet some of whose workers refuse every start.
class WaitingFleet {
 public:
  explicit WaitingFleet(int workers) : fleet_(workers) {}

  PlacementFleet& fleet() { return fleet_; }
  void Refuse(int worker) { refusing_.insert(worker); }
  void ChangeWorker(int worker, auto&& change) {
    const MemberName name = PlacementFleet::Name(worker);
    Table<MemberName, WorkerRow>& rows = fleet_.tables().workers_;
    WorkerRow::Builder builder(*rows.Find(name));
    change(builder);
    rows.Put(name, builder.Build());
  }
  // Fills the worker with tasks of one job that has more of them waiting.
  void FillWithBestEffort(int worker) {
    fleet_.AddRunning(BestEffort(9, 7000), worker);
  }
  // Runs a service on the worker that best-effort tasks disturb.
  void AddDisturbedService(int worker) {
    fleet_.AddRunning(Service(13'000), worker);
    fleet_.Observe(worker, "batch", 7000, "service", 400);
  }

  // Lets passes run until the job has a task on a worker that does not refuse
  // it. Returns how long that took.
  Duration TimeUntilRunning(std::uint64_t job, Duration limit) {
    Duration waited{};
    while (waited < limit) {
      fleet_.Place();
      const Duration pause = RefuseStarts() ? kRefusalRoundTrip : kPass;
      if (IsRunning(job)) return waited;
      fleet_.Advance(pause);
      waited += pause;
    }
    return waited;
  }

 private:
  bool IsRunning(std::uint64_t job) {
    return fleet_.tables().tasks_.ActiveIn(job) > 0;
  }

  bool RefuseStarts() {
    bool any = false;
    for (const int worker : refusing_) {
      std::vector<RunRefused> refused;
      const std::set<TaskKey> tasks =
          fleet_.tables().tasks_.TasksOnWorker(PlacementFleet::Name(worker));
      for (const TaskKey& task : tasks) {
        const JobTask& row = *fleet_.tables().tasks_.Find(task);
        refused.push_back(
            RunRefused::Builder()
                .run(RunKey::Builder().task(task).run(row.run()).Build())
                .reason(Reason::kDoesNotFit)
                .Build());
      }
      if (refused.empty()) continue;
      fleet_.Report(worker, WorkerReport::Builder().refused(refused).Build());
      any = true;
    }
    return any;
  }

  PlacementFleet fleet_;
  std::set<int> refusing_;
};

void MakeUnmeetable(PlacementFleet& fleet, std::uint64_t job) {
  const JobRow row = *fleet.tables().jobs_.Find(job);
  fleet.tables().jobs_.Put(job, JobRow::Builder(row)
                                    .accepted_at(kFleetNow - seconds(60))
                                    .due(kFleetNow - seconds(50))
                                    .Build());
}

// Conditions of a worker. The first ones leave room by the platform's account.
enum class Condition {
  kFree,
  kQuarantined,
  kDisturbedService,
  kThrottled,
  kFull,
  kRefusing,
  kOrphanedRun
};
constexpr int kConditionsWithRoom = 5;
constexpr int kConditions = 7;

void Apply(Condition condition, int worker, WaitingFleet& waiting) {
  switch (condition) {
    case Condition::kFree:
      return;
    case Condition::kQuarantined:
      return waiting.ChangeWorker(worker, [](WorkerRow::Builder& row) {
        row.rests_until(kFleetNow + seconds(16));
      });
    case Condition::kDisturbedService:
      return waiting.AddDisturbedService(worker);
    case Condition::kThrottled:
      waiting.fleet().AddRunning(Service(13'000), worker);
      return waiting.ChangeWorker(
          worker, [](WorkerRow::Builder& row) { row.fill_pace(0); });
    case Condition::kFull:
      return waiting.FillWithBestEffort(worker);
    case Condition::kRefusing:
      return waiting.Refuse(worker);
    case Condition::kOrphanedRun:
      waiting.fleet()
          .tables()
          .orphaned_runs_[PlacementFleet::Name(worker)]
          .insert(RunKey());
      return;
  }
}

JobStep DrawStep(std::mt19937& random) {
  const bool best_effort = random() % 2 == 0;
  const auto count = static_cast<std::int32_t>(1 + random() % 3);
  const JobStep step =
      best_effort ? BestEffort(count, 7000) : Urgent(count, 9000);
  return JobStep::Builder(step).gang(random() % 4 == 0).Build();
}

// Draws a fleet, other jobs, and a job that waits; returns how long that has
// nothing running. One worker has room for all of them.
Duration WaitOfDrawnJob(unsigned seed) {
  std::mt19937 random(seed);
  const int workers = 2 + static_cast<int>(random() % 4);
  WaitingFleet waiting(workers);
  Apply(static_cast<Condition>(random() % kConditionsWithRoom), 0, waiting);
  for (int i = 1; i < workers; ++i) {
    Apply(static_cast<Condition>(random() % kConditions), i, waiting);
  }
  for (unsigned i = random() % 4; i > 0; --i) {
    waiting.fleet().AddJob(BestEffort(2, 7000));
  }
  const std::uint64_t job = waiting.fleet().AddJob(DrawStep(random));
  if (random() % 3 == 0) MakeUnmeetable(waiting.fleet(), job);
  return waiting.TimeUntilRunning(job, seconds(20));
}

}  // namespace

// Each reason for which a worker is passed over has to end by itself while the
// turn of a task and the room for it last.
BOOST_AUTO_TEST_SUITE(waiting_reasons)

BOOST_AUTO_TEST_CASE(quarantine) {
  WaitingFleet waiting(2);
  for (int i = 0; i < 2; ++i) {
    waiting.ChangeWorker(i, [](WorkerRow::Builder& row) {
      row.rests_until(kFleetNow + seconds(16));
    });
  }
  const std::uint64_t job = waiting.fleet().AddJob(Urgent(1, 1000));
  BOOST_TEST((waiting.TimeUntilRunning(job, seconds(20)) < kMaxWait));
}

BOOST_AUTO_TEST_CASE(disturbed_services) {
  WaitingFleet waiting(2);
  for (int i = 0; i < 2; ++i) waiting.AddDisturbedService(i);
  const std::uint64_t job = waiting.fleet().AddJob(BestEffort(1, 7000));
  BOOST_TEST((waiting.TimeUntilRunning(job, seconds(20)) < kMaxWait));
}

BOOST_AUTO_TEST_CASE(throttled_best_effort_tasks) {
  WaitingFleet waiting(2);
  for (int i = 0; i < 2; ++i) {
    waiting.fleet().AddRunning(Service(13'000), i);
    waiting.ChangeWorker(i, [](WorkerRow::Builder& row) { row.fill_pace(0); });
  }
  const std::uint64_t job = waiting.fleet().AddJob(BestEffort(1, 7000));
  BOOST_TEST((waiting.TimeUntilRunning(job, seconds(20)) < kMaxWait));
}

// One worker refuses every start, and the task would disturb a service on the
// other one. Each refusal began the wait anew, so that the task was never
// overdue.
BOOST_AUTO_TEST_CASE(refusals_beside_a_disturbed_service) {
  WaitingFleet waiting(2);
  waiting.Refuse(0);
  waiting.AddDisturbedService(1);
  const std::uint64_t job = waiting.fleet().AddJob(BestEffort(1, 7000));
  BOOST_TEST((waiting.TimeUntilRunning(job, seconds(20)) < kMaxWait));
}

// As before, with workers that are full of best-effort tasks instead.
BOOST_AUTO_TEST_CASE(refusals_beside_full_workers) {
  WaitingFleet waiting(2);
  waiting.Refuse(0);
  waiting.FillWithBestEffort(1);
  const std::uint64_t job = waiting.fleet().AddJob(BestEffort(1, 7000));
  BOOST_TEST((waiting.TimeUntilRunning(job, seconds(20)) < kMaxWait));
}

// Several workers refuse every start; the task has to reach the last one.
BOOST_AUTO_TEST_CASE(refusals_of_all_workers_but_one) {
  WaitingFleet waiting(6);
  for (int i = 0; i < 5; ++i) waiting.Refuse(i);
  waiting.fleet().AddRunning(Urgent(1, 20'000), 5);
  const std::uint64_t job = waiting.fleet().AddJob(Urgent(1, 1000));
  BOOST_TEST((waiting.TimeUntilRunning(job, seconds(20)) < kMaxWait));
}

// Best-effort tasks of an unmeetable job are placed last. Other jobs with
// nothing running took each place before it.
BOOST_AUTO_TEST_CASE(best_effort_work_of_other_jobs_before_an_unmeetable_one) {
  WaitingFleet waiting(1);
  PlacementFleet& fleet = waiting.fleet();
  const std::uint64_t job = fleet.AddJob(BestEffort(1, 7000));
  MakeUnmeetable(fleet, job);
  for (int i = 0; i < 40; ++i) fleet.AddJob(BestEffort(1, 7000));
  BOOST_TEST((waiting.TimeUntilRunning(job, seconds(20)) < kMaxWait));
}

// The workers that are open are more than half reserved, those that are closed
// are empty. The platform counts them all, so less than half is in use.
BOOST_AUTO_TEST_CASE(full_workers_beside_closed_empty_ones) {
  WaitingFleet waiting(4);
  PlacementFleet& fleet = waiting.fleet();
  fleet.AddRunning(Urgent(1, 40'000), 0);
  fleet.AddRunning(BestEffort(3, 7000), 0);
  for (int i = 1; i < 4; ++i) {
    fleet.tables().orphaned_runs_[PlacementFleet::Name(i)].insert(RunKey());
  }
  const std::uint64_t job = fleet.AddJob(BestEffort(1, 7000));
  BOOST_TEST((waiting.TimeUntilRunning(job, seconds(20)) < kMaxWait));
}

// A worker in quarantine refuses an overdue task. That ended its quarantine
// after the back-off of a refusal.
BOOST_AUTO_TEST_CASE(a_refusal_does_not_shorten_a_quarantine) {
  WaitingFleet waiting(1);
  waiting.Refuse(0);
  Apply(Condition::kQuarantined, 0, waiting);
  const std::uint64_t job = waiting.fleet().AddJob(Urgent(1, 1000));
  waiting.TimeUntilRunning(job, seconds(3));
  const SchedulerTables& tables = waiting.fleet().tables();
  BOOST_TEST(
      (tables.tasks_.Find(TaskKey::Builder().job(job).Build())->run() > 0));
  BOOST_TEST((tables.workers_.Find(PlacementFleet::Name(0))->rests_until() ==
              kFleetNow + seconds(16)));
}

// Any mix of the reasons above has to end within the same time.
BOOST_AUTO_TEST_CASE(drawn_mixes_of_reasons) {
  constexpr unsigned kDefaultSeeds = 300;
  const char* set = std::getenv("QUETZALLINE_WAITING_SEEDS");
  const unsigned seeds =
      set == nullptr ? kDefaultSeeds
                     : static_cast<unsigned>(std::strtoul(set, nullptr, 10));
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST((WaitOfDrawnJob(seed) < kMaxWait));
    }
  }
}

// Reasons that legitimately last: another label, a worker that drains, memory,
// a limit of tasks per worker.
BOOST_AUTO_TEST_CASE(reasons_that_last) {
  const auto waits = [](const JobStep& step, bool draining) {
    WaitingFleet waiting(1);
    if (draining) {
      waiting.ChangeWorker(0, [&](WorkerRow::Builder& row) {
        const WorkerRow old =
            *waiting.fleet().tables().workers_.Find(PlacementFleet::Name(0));
        row.facts(
            WorkerDescription::Builder(*old.facts()).draining(true).Build());
      });
    }
    const std::uint64_t job = waiting.fleet().AddJob(step);
    return waiting.TimeUntilRunning(job, seconds(20)) == seconds(20);
  };
  BOOST_TEST(!waits(Urgent(1, 1000), false));
  BOOST_TEST(waits(Urgent(1, 1000), true));
  BOOST_TEST(waits(
      JobStep::Builder(Urgent(1, 1000)).required_label("x").Build(), false));
  BOOST_TEST(waits(JobStep::Builder(Urgent(1, 1000)).memory_mb(250'001).Build(),
                   false));
  BOOST_TEST(waits(Urgent(1, kFleetMillicores + 1), false));
}

// Returns the number of jobs that callers are told have not begun.
std::int64_t PendingJobs(PlacementFleet& fleet) {
  Random random(1);
  SchedulerTick tick(kFleetNow, random, fleet.tables().counters_);
  ReplyPendingCount(ConnectionId(99), ReadPendingCount(), fleet.tables(), tick);
  const std::vector<SchedulerEffect> effects = tick.TakeEffects();
  const auto& sent = std::get<SendToGateway>(effects.front());
  return std::get<PendingCountReply>(sent.message()).count();
}

// A job counted as begun once a start had been sent, although the worker
// refused it or was gone; jobs that waited for seconds were not shown as
// pending.
BOOST_AUTO_TEST_CASE(a_job_is_pending_until_a_worker_has_started_a_task) {
  WaitingFleet run(1);
  PlacementFleet& fleet = run.fleet();
  const std::uint64_t job = fleet.AddJob(Urgent(2, 1000));
  BOOST_TEST(PendingJobs(fleet) == 1);
  run.Refuse(0);
  BOOST_TEST((run.TimeUntilRunning(job, seconds(1)) >= seconds(1)));
  BOOST_TEST(PendingJobs(fleet) == 1);
  BOOST_CHECK(fleet.tables().jobs_.Find(job)->state() == JobState::kQueued);
  fleet.Advance(seconds(1));
  fleet.Place();
  const TaskKey first = TaskKey::Builder().job(job).Build();
  const JobTask& task = *fleet.tables().tasks_.Find(first);
  BOOST_REQUIRE(task.stage() == TaskStage::kAssigned);
  BOOST_TEST(PendingJobs(fleet) == 1);
  fleet.Report(
      0,
      WorkerReport::Builder()
          .running(
              {RunProgress::Builder()
                   .run(RunKey::Builder().task(first).run(task.run()).Build())
                   .Build()})
          .Build());
  BOOST_TEST(PendingJobs(fleet) == 0);
  BOOST_CHECK(fleet.tables().jobs_.Find(job)->state() == JobState::kRunning);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
