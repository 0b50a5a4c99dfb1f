#include <boost/test/unit_test.hpp>
#include <string>

#include "support/fleet_fixtures.h"
#include "systems/entry/report_status.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

SubmitJob Job(const std::string& job, const std::string& task) {
  return SubmitJob::Builder()
      .job(JobId(job))
      .service(ServiceName("quotes"))
      .task(task)
      .Build();
}

std::string StateOf(const VirtualFleet& fleet, const std::string& task) {
  const auto holder = fleet.Holder();
  if (!holder) return "no holder";
  const Task* row = fleet.entry(*holder).tasks_.Find(TaskId(task));
  return row == nullptr ? "unknown" : StateName(*row);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(jobs)

BOOST_AUTO_TEST_CASE(a_job_is_accepted_when_durable_and_finishes) {
  SmallFleet small(1, 2, 3);
  VirtualFleet& fleet = small.fleet_;
  const std::size_t holder = *fleet.Holder();
  const std::uint64_t command = fleet.Command(holder, Job("j", "rebuild"));
  fleet.RunFor(milliseconds(200));
  BOOST_REQUIRE(fleet.Result(command) != nullptr);
  BOOST_TEST(std::holds_alternative<JobAccepted>(*fleet.Result(command)));
  fleet.RunFor(seconds(2));
  BOOST_TEST(StateOf(fleet, "j/1") == "running");
  fleet.RunFor(seconds(12));
  BOOST_TEST(StateOf(fleet, "j/1") == "finished");
  BOOST_TEST(fleet.log().TaskRuns(TaskId("j/1")) == 1);
}

BOOST_AUTO_TEST_CASE(a_repeated_submission_runs_the_job_once) {
  SmallFleet small(2, 1, 3);
  VirtualFleet& fleet = small.fleet_;
  for (int i = 0; i < 3; ++i) fleet.Command(0, Job("j", "rebuild"));
  fleet.RunFor(seconds(1));
  const std::uint64_t late = fleet.Command(0, Job("j", "rebuild"));
  fleet.RunFor(seconds(14));
  for (std::uint64_t id = 1; id <= late; ++id) {
    BOOST_REQUIRE(fleet.Result(id) != nullptr);
    BOOST_TEST(std::holds_alternative<JobAccepted>(*fleet.Result(id)));
  }
  BOOST_TEST(fleet.log().TaskRuns(TaskId("j/1")) == 1);
}

BOOST_AUTO_TEST_CASE(another_entry_names_the_holder) {
  SmallFleet small(3, 2, 1);
  VirtualFleet& fleet = small.fleet_;
  const std::size_t holder = *fleet.Holder();
  const std::uint64_t command = fleet.Command(1 - holder, Job("j", "rebuild"));
  fleet.RunFor(milliseconds(100));
  const auto& refused = std::get<CommandRefused>(*fleet.Result(command));
  BOOST_TEST((refused.reason() == Reason::kNotHolder));
  BOOST_TEST(refused.detail() == "http://entry-" + std::to_string(holder + 1));
}

BOOST_AUTO_TEST_CASE(a_job_that_never_fits_reports_why_and_blocks_no_other) {
  SmallFleet small(4, 1, 2);
  VirtualFleet& fleet = small.fleet_;
  for (int i = 0; i < 300; ++i) {
    fleet.Command(0, Job("huge" + std::to_string(i), "huge"));
  }
  fleet.Command(0, Job("j", "rebuild"));
  fleet.RunFor(seconds(5));
  const Task* task = fleet.entry(0).tasks_.Find(TaskId("huge0/1"));
  BOOST_REQUIRE(task != nullptr);
  BOOST_TEST((task->last_reason() == Reason::kDoesNotFit));
  BOOST_TEST(StateOf(fleet, "j/1") == "running");
}

BOOST_AUTO_TEST_CASE(instances_are_never_overcommitted) {
  SmallFleet small(5, 1, 3);
  VirtualFleet& fleet = small.fleet_;
  // Each of the three instances has eight cores and fits four tasks of two.
  for (int i = 0; i < 30; ++i) {
    fleet.Command(0, Job("j" + std::to_string(i), "rebuild"));
  }
  fleet.RunFor(seconds(5));
  std::size_t running = 0;
  for (std::size_t i = 0; i < 3; ++i) running += fleet.worker(i).tasks().size();
  BOOST_TEST(running == 12U);
  fleet.RunFor(seconds(60));
  for (int i = 0; i < 30; ++i) {
    BOOST_TEST(StateOf(fleet, "j" + std::to_string(i) + "/1") == "finished");
  }
  for (const std::string& violation : fleet.log().violations()) {
    BOOST_ERROR(violation);
  }
}

BOOST_AUTO_TEST_CASE(a_burst_of_cancellations_cancels_every_job_for_good) {
  SmallFleet small(6, 1, 3);
  VirtualFleet& fleet = small.fleet_;
  constexpr int kJobs = 1500;
  for (int i = 0; i < kJobs; ++i) {
    fleet.Command(0, Job("j" + std::to_string(i), "long"));
  }
  fleet.RunFor(seconds(5));
  const std::int64_t before = fleet.store().calls();
  std::vector<std::uint64_t> commands;
  for (int i = 0; i < kJobs; ++i) {
    const JobId job("j" + std::to_string(i));
    commands.push_back(fleet.Command(0, CancelJob::Builder().job(job).Build()));
  }
  fleet.RunFor(seconds(3));
  for (const std::uint64_t command : commands) {
    BOOST_REQUIRE(fleet.Result(command) != nullptr);
    BOOST_TEST(std::holds_alternative<JobCancelled>(*fleet.Result(command)));
  }
  // All cancellations stay within the few hundred writes per second that the
  // store sustains.
  BOOST_TEST(fleet.store().calls() - before < 300);
  fleet.RunFor(seconds(30));
  for (int i = 0; i < kJobs; ++i) {
    BOOST_TEST(StateOf(fleet, "j" + std::to_string(i) + "/1") == "cancelled");
  }
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST(fleet.worker(i).tasks().empty());
  }
}

BOOST_AUTO_TEST_CASE(a_worker_that_fails_every_task_is_quarantined) {
  SmallFleet small(7, 1, 4);
  VirtualFleet& fleet = small.fleet_;
  fleet.worker(0).SetFaults(
      WorkerFaults::Builder().fail_every_task(true).Build());
  for (int i = 0; i < 40; ++i) {
    fleet.Command(0, Job("j" + std::to_string(i), "rebuild"));
  }
  fleet.RunFor(minutes(3));
  for (int i = 0; i < 40; ++i) {
    BOOST_TEST(StateOf(fleet, "j" + std::to_string(i) + "/1") == "finished");
  }
  const std::int64_t failed =
      fleet.entry(0).counters_.Total(Counter::kTasksFailed);
  BOOST_TEST(failed < 15);
}

BOOST_AUTO_TEST_CASE(a_task_that_fails_everywhere_is_given_up) {
  SmallFleet small(8, 1, 6);
  VirtualFleet& fleet = small.fleet_;
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.worker(i).SetFaults(
        WorkerFaults::Builder().fail_every_task(true).Build());
  }
  fleet.Command(0, Job("j", "rebuild"));
  fleet.RunFor(minutes(2));
  BOOST_TEST(StateOf(fleet, "j/1") == "given-up");
  const Task* task = fleet.entry(0).tasks_.Find(TaskId("j/1"));
  BOOST_TEST(task->failed_on().size() == 5U);
  BOOST_TEST((task->last_reason() == Reason::kWorkerFailed));
}

// Guards against a stand-in worker whose crash spares the tasks beside the one
// that causes it, and against tasks that are lost with their worker.
BOOST_AUTO_TEST_CASE(a_task_beside_one_that_crashes_its_worker_is_restarted) {
  SmallFleet small(9, 1, 1);
  VirtualFleet& fleet = small.fleet_;
  fleet.Command(0, Job("beside", "rebuild"));
  fleet.RunFor(seconds(2));
  BOOST_TEST(fleet.worker(0).tasks().size() == 1U);
  fleet.worker(0).SetFaults(
      WorkerFaults::Builder().crash_on_start("long").Build());
  fleet.Command(0, Job("crashes", "long"));
  fleet.RunFor(seconds(1));
  fleet.worker(0).SetFaults(WorkerFaults());
  fleet.RunFor(minutes(2));
  BOOST_TEST(StateOf(fleet, "beside/1") == "finished");
  BOOST_TEST(fleet.log().TaskRuns(TaskId("beside/1")) > 1);
  BOOST_TEST(fleet.log().TaskRuns(TaskId("crashes/1")) > 1);
}

// Guards against work that is given up, or that stays away, because a worker
// had less capacity than its agent assumes for a while.
BOOST_AUTO_TEST_CASE(a_task_starts_once_the_room_of_its_worker_has_grown) {
  SmallFleet small(10, 1, 1);
  VirtualFleet& fleet = small.fleet_;
  fleet.worker(0).SetFaults(
      WorkerFaults::Builder()
          .room(Resources::Builder().milli_cores(100).Build())
          .Build());
  fleet.Command(0, Job("j", "rebuild"));
  fleet.RunFor(minutes(1));
  BOOST_TEST(fleet.worker(0).tasks().empty());
  BOOST_TEST(StateOf(fleet, "j/1") != "given-up");
  fleet.worker(0).SetFaults(WorkerFaults());
  fleet.RunFor(minutes(1));
  BOOST_TEST(StateOf(fleet, "j/1") == "finished");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
