#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>
#include <random>
#include <vector>

#include "support/backlog_model.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobStep BestEffort(std::int32_t count) {
  return JobStep::Builder()
      .count(count)
      .cpu(7000)
      .memory_mb(12'000)
      .estimate(seconds(2))
      .image("batch")
      .fills(true)
      .Build();
}

std::int64_t Ms(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

// Steps of 6 to 20 tasks, each behind the one before it.
std::vector<JobStep> DrawSteps(std::mt19937& random) {
  std::vector<JobStep> steps;
  const auto depth = static_cast<std::int32_t>(1 + random() % 3);
  for (std::int32_t i = 0; i < depth; ++i) {
    JobStep::Builder step(
        BestEffort(static_cast<std::int32_t>(6 + random() % 15)));
    if (i > 0) step.after({i - 1});
    steps.push_back(step.Build());
  }
  return steps;
}

// Figures of the jobs of a backlog.
struct Figures {
  int jobs_ = 0;
  /// Jobs that waited in all for longer than the platform's limit.
  int jobs_over_limit_ = 0;
  int waits_ = 0;
  Duration longest_{};
  Duration longest_later_{};
  Duration most_waited_{};
  Duration makespan_{};
  Duration mean_completion_{};
  std::int64_t highest_percent_ = 0;
};

Figures FiguresOf(const BacklogModel& model,
                  const std::vector<std::uint64_t>& jobs) {
  Figures figures;
  figures.highest_percent_ = model.highest_percent();
  for (const std::uint64_t job : jobs) {
    const JobGaps& gaps = model.gaps().at(job);
    ++figures.jobs_;
    figures.jobs_over_limit_ += gaps.most_waited_ > kLostAfter ? 1 : 0;
    figures.waits_ += gaps.waits_;
    figures.longest_ = std::max(figures.longest_, gaps.longest_);
    figures.longest_later_ =
        std::max(figures.longest_later_, gaps.longest_later_);
    figures.most_waited_ = std::max(figures.most_waited_, gaps.most_waited_);
    const auto completion = model.completions().find(job);
    if (completion == model.completions().end()) continue;
    figures.makespan_ = std::max(figures.makespan_, completion->second);
    figures.mean_completion_ +=
        completion->second / static_cast<Duration::rep>(jobs.size());
  }
  return figures;
}

Figures FiguresOf(const BacklogModel& model) {
  std::vector<std::uint64_t> jobs;
  for (const auto& [job, gaps] : model.gaps()) jobs.push_back(job);
  return FiguresOf(model, jobs);
}

std::ostream& operator<<(std::ostream& out, const Figures& figures) {
  return out << figures.jobs_over_limit_ << " of " << figures.jobs_
             << " jobs over the limit, " << figures.waits_
             << " waits, longest gap " << Ms(figures.longest_)
             << " ms, later than the first " << Ms(figures.longest_later_)
             << " ms, at most " << Ms(figures.most_waited_)
             << " ms waited in all, makespan " << Ms(figures.makespan_)
             << " ms, mean completion " << Ms(figures.mean_completion_)
             << " ms, " << figures.highest_percent_ << " % CPU";
}

// No job waits in all for longer than the platform's limit.
void CheckWaits(const Figures& figures) {
  BOOST_TEST_MESSAGE(figures);
  BOOST_TEST((figures.most_waited_ <= kLostAfter), figures);
}

// Draws a backlog of jobs of several kinds. Some of the workers have GPUs or
// run other than best-effort work, on less than half of their CPU.
void DrawBacklog(std::mt19937& random, BacklogModel& model, int workers) {
  for (int worker = 0; worker < workers; ++worker) {
    if (random() % 4 == 0) model.Reserve(worker, 20'000);
    if (random() % 2 == 0 || worker == 0) model.SetGpus(worker, 4);
  }
  for (int i = 0; i < 5 * workers; ++i) {
    std::vector<JobStep> steps = DrawSteps(random);
    const auto memory_mb = static_cast<std::int64_t>(1000 + random() % 15'000);
    const bool gang = random() % 8 == 0;
    const bool gpu = random() % 16 == 0;
    for (JobStep& step : steps) {
      JobStep::Builder changed(step);
      changed.memory_mb(memory_mb).gpu(gpu ? 1 : 0).gang(gang);
      if (gang) changed.count(2 + static_cast<std::int32_t>(random() % 3));
      step = changed.Build();
    }
    model.AddJob(steps, static_cast<std::int32_t>(random() % 2));
  }
}

// Returns a time by which a backlog is over if, while a task waits, the CPU,
// the memory or the GPUs of all workers are in use.
Duration LongestMakespan(BacklogModel& model) {
  const SchedulerTables& tables = model.fleet().tables();
  double cpu = 0.0;
  double memory = 0.0;
  double gpus = 0.0;
  for (const auto& [name, worker] : tables.workers_) {
    const WorkerUse& use = tables.tasks_.UseOf(name);
    cpu += static_cast<double>(worker.facts()->cpu() - use.cpu());
    memory += static_cast<double>(worker.facts()->memory_mb());
    gpus += static_cast<double>(worker.facts()->gpu());
  }
  double full_time = 0.0;
  std::map<StepKey, Duration> steps;
  for (const auto& [task, work] : model.work()) {
    const JobStep& step = *tables.tasks_.Find(task)->step();
    const double share =
        static_cast<double>(step.cpu()) / cpu +
        static_cast<double>(step.memory_mb()) / memory +
        (step.gpu() > 0 ? static_cast<double>(step.gpu()) / gpus : 0.0);
    full_time += share * std::chrono::duration<double>(work).count();
    steps[StepOf(task)] = std::max(steps[StepOf(task)], work);
  }
  std::map<std::uint64_t, Duration> chains;
  Duration longest{};
  for (const auto& [step, work] : steps) {
    chains[step.job()] += work + kReactionTime;
    longest = std::max(longest, chains[step.job()]);
  }
  return longest + std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(full_time));
}

constexpr unsigned kSeeds = 200;

// Runs drawn backlogs and calls check(seed, model, figures, bound on the
// makespan) for each.
template <typename Check>
void ForDrawnBacklogs(Check&& check) {
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    const int workers = 1 + static_cast<int>(random() % 3);
    BacklogModel model(workers, seed);
    DrawBacklog(random, model, workers);
    const Duration bound = LongestMakespan(model);
    model.RunFor(bound + seconds(60));
    check(seed, model, FiguresOf(model), bound);
  }
}

// Returns the figures of jobs with these steps that are added among a backlog
// of 22 others on 5 workers.
Figures FiguresBesideOthers(const std::vector<JobStep>& steps) {
  BacklogModel model(5, 1);
  std::mt19937 random(1);
  std::vector<std::uint64_t> jobs;
  for (int i = 0; i < 22; ++i) {
    if (i % 7 == 0) jobs.push_back(model.AddJob(steps));
    model.AddJob(DrawSteps(random));
  }
  model.RunFor(seconds(120));
  BOOST_TEST(model.jobs_left() == 0U);
  BOOST_TEST(model.overcommitted() == 0);
  return FiguresOf(model, jobs);
}

// Returns the figures of a backlog during which the holder changes this often.
Figures FiguresBesideTakeovers(int takeovers) {
  BacklogModel model(5, 1);
  std::mt19937 random(1);
  for (int i = 0; i < 22; ++i) model.AddJob(DrawSteps(random));
  for (int i = 0; i < takeovers; ++i) {
    model.RunFor(milliseconds(3100));
    model.TakeOver(milliseconds(600));
  }
  model.RunFor(seconds(120));
  BOOST_TEST(model.jobs_left() == 0U);
  BOOST_TEST(model.overcommitted() == 0);
  return FiguresOf(model);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(backlogs)

// A job gets a task beside others only in memory, GPUs and reserved CPU that
// are free, and a backlog is over in time.
BOOST_AUTO_TEST_CASE(drawn_backlogs_overcommit_nothing_and_end_in_time) {
  Duration makespans{};
  Duration completions{};
  double slowest = 0.0;
  ForDrawnBacklogs([&](unsigned seed, const BacklogModel& model,
                       const Figures& figures, Duration bound) {
    BOOST_TEST(model.overcommitted() == 0, "seed " << seed);
    BOOST_TEST(model.jobs_left() == 0U, "seed " << seed);
    BOOST_TEST((figures.makespan_ <= bound),
               "seed " << seed << ": " << figures << ", bound " << Ms(bound));
    makespans += figures.makespan_;
    completions += figures.mean_completion_;
    slowest = std::max(slowest, static_cast<double>(Ms(figures.makespan_)) /
                                    static_cast<double>(Ms(bound)));
  });
  BOOST_TEST_MESSAGE("makespan "
                     << Ms(makespans / kSeeds) << " ms, mean completion "
                     << Ms(completions / kSeeds)
                     << " ms in the mean of the seeds, at most " << slowest
                     << " of the bound");
}

// The wait of a starved job began anew at the end of each of its tasks.
BOOST_AUTO_TEST_CASE(a_starved_job_waits_once_and_not_after_each_of_its_tasks) {
  BacklogModel model(11, 1);
  std::mt19937 random(1);
  for (int i = 0; i < 49; ++i) model.AddJob(DrawSteps(random));
  model.RunFor(seconds(120));
  const Figures figures = FiguresOf(model);
  BOOST_TEST(model.jobs_left() == 0U);
  BOOST_TEST(model.overcommitted() == 0);
  CheckWaits(figures);
}

// A job waited anew after each of its tasks in every drawn backlog, for 15 s in
// all.
BOOST_AUTO_TEST_CASE(no_job_of_a_drawn_backlog_waits_longer_than_the_limit) {
  ForDrawnBacklogs(
      [](unsigned seed, const BacklogModel&, const Figures& figures, Duration) {
        BOOST_TEST((figures.longest_ <= kLostAfter), "seed " << seed);
        BOOST_TEST(figures.jobs_over_limit_ == 0,
                   "seed " << seed << ": " << figures);
      });
}

// The tasks of a gang start together or not at all. A starved gang waited anew
// before each of its job's steps.
BOOST_AUTO_TEST_CASE(a_starved_gang_waits_once) {
  const JobStep first = JobStep::Builder(BestEffort(4)).gang(true).Build();
  std::vector<JobStep> steps = {first};
  for (std::int32_t i = 0; i < 5; ++i) {
    steps.push_back(JobStep::Builder(first).after({i}).Build());
  }
  const Figures figures = FiguresBesideOthers(steps);
  CheckWaits(figures);
}

// The first task of a step waited anew after the last one of the step before.
BOOST_AUTO_TEST_CASE(a_starved_job_waits_once_for_all_of_its_steps) {
  std::vector<JobStep> steps = {BestEffort(1)};
  for (std::int32_t i = 0; i < 5; ++i) {
    steps.push_back(JobStep::Builder(BestEffort(1)).after({i}).Build());
  }
  const Figures figures = FiguresBesideOthers(steps);
  CheckWaits(figures);
}

// Jobs of a lower priority wait behind the others, but no longer in all than
// the platform's limit.
BOOST_AUTO_TEST_CASE(a_starved_job_of_lower_priority_waits_once) {
  BacklogModel model(5, 1);
  std::mt19937 random(1);
  std::vector<std::uint64_t> low;
  for (int i = 0; i < 22; ++i) {
    const std::uint64_t job = model.AddJob(DrawSteps(random), i % 2);
    if (i % 2 == 1) low.push_back(job);
  }
  model.RunFor(seconds(120));
  const Figures figures = FiguresOf(model, low);
  BOOST_TEST(model.jobs_left() == 0U);
  BOOST_TEST(model.overcommitted() == 0);
  CheckWaits(figures);
}

// A new holder knows nothing of what a job has waited before and let it wait
// anew. The time without a holder does not count.
BOOST_AUTO_TEST_CASE(a_starved_job_waits_once_beside_a_takeover) {
  const Figures figures = FiguresBesideTakeovers(1);
  CheckWaits(figures);
}

BOOST_AUTO_TEST_SUITE_END()

// Listed in KNOWN-RED.txt; CI does not run them. Each bound is the platform's
// limit, within which a job may wait in all while there is room.
BOOST_AUTO_TEST_SUITE(known_red_backlogs)

// In any backlog, a job that has run waits no longer than what the next start
// takes while there is room, and never until the platform calls it lost.
BOOST_AUTO_TEST_CASE(no_job_of_a_drawn_backlog_waits_after_its_first_run) {
  int lost_seeds = 0;
  int waiting_seeds = 0;
  Figures all;
  ForDrawnBacklogs([&](unsigned, const BacklogModel&, const Figures& figures,
                       Duration) {
    lost_seeds += figures.longest_ > kLostAfter ? 1 : 0;
    waiting_seeds += figures.longest_later_ > kReactionTime ? 1 : 0;
    all.jobs_ += figures.jobs_;
    all.jobs_over_limit_ += figures.jobs_over_limit_;
    all.waits_ += figures.waits_;
    all.longest_ = std::max(all.longest_, figures.longest_);
    all.longest_later_ = std::max(all.longest_later_, figures.longest_later_);
    all.most_waited_ = std::max(all.most_waited_, figures.most_waited_);
    all.highest_percent_ =
        std::max(all.highest_percent_, figures.highest_percent_);
    all.makespan_ += figures.makespan_ / kSeeds;
    all.mean_completion_ += figures.mean_completion_ / kSeeds;
  });
  BOOST_TEST_MESSAGE(all);
  BOOST_TEST(lost_seeds == 0, lost_seeds << " of " << kSeeds << " seeds");
  BOOST_TEST(waiting_seeds == 0,
             waiting_seeds << " of " << kSeeds << " seeds: " << all);
}

// A new holder knows nothing of what a job has waited before. Each of several
// that follow each other lets the job wait anew.
BOOST_AUTO_TEST_CASE(a_starved_job_waits_once_beside_successive_takeovers) {
  const Figures figures = FiguresBesideTakeovers(4);
  CheckWaits(figures);
}

// Once the first tasks of starved jobs took twice the CPU, the other jobs
// waited for their ends, although the platform does not count this CPU.
BOOST_AUTO_TEST_CASE(more_starved_jobs_than_twice_the_cpu_wait_once) {
  BacklogModel model(2, 1);
  for (int i = 0; i < 49; ++i) {
    model.AddJob({JobStep::Builder(BestEffort(4)).memory_mb(2000).Build()});
  }
  model.RunFor(seconds(120));
  const Figures figures = FiguresOf(model);
  BOOST_TEST(model.jobs_left() == 0U);
  BOOST_TEST(model.overcommitted() == 0);
  CheckWaits(figures);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
