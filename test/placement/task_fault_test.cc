#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>

#include "support/fleet_fixtures.h"
#include "systems/entry/report_status.h"

namespace quetzalline {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// A fleet of two entries and three instances in which one long task runs.
class RunningTask {
 public:
  explicit RunningTask(std::uint64_t seed) : small_(seed, 2, 3) {
    VirtualFleet& fleet = small_.fleet_;
    fleet.Command(*fleet.Holder(), SubmitJob::Builder()
                                       .job(JobId("j"))
                                       .service(ServiceName("quotes"))
                                       .task("long")
                                       .Build());
    fleet.RunFor(seconds(10));
    BOOST_REQUIRE(fleet.log().IsRunning(kTask));
  }

  VirtualFleet& fleet() { return small_.fleet_; }

  std::size_t InstanceOfTask() {
    for (std::size_t i = 0; i < fleet().agents(); ++i) {
      if (!fleet().worker(i).tasks().empty()) return i;
    }
    return fleet().agents();
  }

  std::string State() {
    const auto holder = fleet().Holder();
    if (!holder) return "no holder";
    const Task* task = fleet().entry(*holder).tasks_.Find(kTask);
    return task == nullptr ? "unknown" : StateName(*task);
  }

  void PartitionFromEntries(std::size_t agent, bool partitioned) {
    for (std::size_t i = 0; i < fleet().entries(); ++i) {
      fleet().SetPartitioned(i, agent, partitioned);
    }
  }

  void ExpectNoViolation() {
    for (const std::string& violation : fleet().log().violations()) {
      BOOST_ERROR(violation);
    }
  }

  inline static const TaskId kTask{"j/1"};

 private:
  SmallFleet small_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(task_faults)

BOOST_AUTO_TEST_CASE(a_new_holder_resumes_from_the_journal) {
  RunningTask running(1);
  VirtualFleet& fleet = running.fleet();
  const std::size_t old_holder = *fleet.Holder();
  fleet.KillEntry(old_holder);
  fleet.RunFor(seconds(10));
  BOOST_REQUIRE(fleet.Holder());
  BOOST_TEST(*fleet.Holder() != old_holder);
  BOOST_TEST(running.State() == "running");
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 1);
  fleet.RunFor(minutes(11));
  BOOST_TEST(running.State() == "finished");
  running.ExpectNoViolation();
}

BOOST_AUTO_TEST_CASE(a_planned_stop_of_the_holder_hands_the_cell_over_at_once) {
  RunningTask running(2);
  VirtualFleet& fleet = running.fleet();
  const std::size_t old_holder = *fleet.Holder();
  fleet.StopEntry(old_holder);
  fleet.RunFor(seconds(2));
  BOOST_REQUIRE(fleet.Holder());
  BOOST_TEST(*fleet.Holder() != old_holder);
}

BOOST_AUTO_TEST_CASE(the_task_of_a_lost_instance_restarts_after_its_lease) {
  RunningTask running(3);
  VirtualFleet& fleet = running.fleet();
  const std::size_t instance = running.InstanceOfTask();
  fleet.KillInstance(instance);
  fleet.RunFor(seconds(10));
  BOOST_TEST(!fleet.log().IsRunning(RunningTask::kTask));
  fleet.RunFor(seconds(15));
  BOOST_TEST(fleet.log().IsRunning(RunningTask::kTask));
  BOOST_TEST(running.InstanceOfTask() != instance);
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 2);
  running.ExpectNoViolation();
}

// The instance comes back while the end of its lost attempt is still being
// written to a slow store. The attempt must not start there, or it would run
// after its end was stored.
BOOST_AUTO_TEST_CASE(an_attempt_that_is_being_ended_does_not_start) {
  for (int offset = 15000; offset <= 19000; offset += 250) {
    SmallFleet small(12, 1, 2);
    VirtualFleet& fleet = small.fleet_;
    for (int i = 0; i < 4; ++i) {
      fleet.Command(0, SubmitJob::Builder()
                           .job(JobId("j" + std::to_string(i)))
                           .service(ServiceName("quotes"))
                           .task("long")
                           .Build());
    }
    fleet.RunFor(seconds(2));
    for (std::size_t i = 0; i < 2; ++i) fleet.KillInstance(i);
    fleet.store().SetDelay(seconds(1));
    fleet.RunFor(milliseconds(offset));
    for (std::size_t i = 0; i < 2; ++i) fleet.StartInstance(i);
    fleet.RunFor(minutes(1));
    for (const std::string& violation : fleet.log().violations()) {
      BOOST_ERROR(offset << " ms: " << violation);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_partitioned_instance_stops_its_task_before_it_restarts) {
  RunningTask running(4);
  VirtualFleet& fleet = running.fleet();
  const std::size_t instance = running.InstanceOfTask();
  running.PartitionFromEntries(instance, true);
  fleet.RunFor(minutes(1));
  BOOST_TEST(fleet.worker(instance).tasks().empty());
  BOOST_TEST(fleet.log().IsRunning(RunningTask::kTask));
  running.PartitionFromEntries(instance, false);
  fleet.RunFor(minutes(1));
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 2);
  running.ExpectNoViolation();
}

BOOST_AUTO_TEST_CASE(a_stalled_agent_cannot_keep_its_task_past_the_lease) {
  RunningTask running(5);
  VirtualFleet& fleet = running.fleet();
  fleet.StallAgent(running.InstanceOfTask(), minutes(1));
  fleet.RunFor(minutes(3));
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 2);
  running.ExpectNoViolation();
}

BOOST_AUTO_TEST_CASE(a_restarted_agent_adopts_the_tasks_of_its_worker) {
  RunningTask running(6);
  VirtualFleet& fleet = running.fleet();
  const std::size_t instance = running.InstanceOfTask();
  fleet.KillAgent(instance);
  fleet.RunFor(seconds(2));
  fleet.StartAgent(instance);
  fleet.RunFor(minutes(11));
  BOOST_TEST(running.State() == "finished");
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 1);
  running.ExpectNoViolation();
}

BOOST_AUTO_TEST_CASE(a_task_that_ends_without_an_agent_is_not_run_again) {
  SmallFleet small(7, 1, 2);
  VirtualFleet& fleet = small.fleet_;
  fleet.Command(0, SubmitJob::Builder()
                       .job(JobId("j"))
                       .service(ServiceName("quotes"))
                       .task("rebuild")
                       .Build());
  fleet.RunFor(seconds(5));
  for (std::size_t i = 0; i < 2; ++i) fleet.KillAgent(i);
  fleet.RunFor(seconds(8));
  for (std::size_t i = 0; i < 2; ++i) fleet.StartAgent(i);
  fleet.RunFor(seconds(30));
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 1);
  const Task* task = fleet.entry(0).tasks_.Find(RunningTask::kTask);
  BOOST_TEST(StateName(*task) == "finished");
}

BOOST_AUTO_TEST_CASE(a_store_outage_stops_no_running_task) {
  RunningTask running(8);
  VirtualFleet& fleet = running.fleet();
  fleet.store().SetDown(true);
  fleet.RunFor(hours(1));
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 1);
  BOOST_TEST(fleet.Holder().has_value());
  fleet.store().SetDown(false);
  fleet.RunFor(minutes(1));
  BOOST_TEST(running.State() == "finished");
  running.ExpectNoViolation();
}

BOOST_AUTO_TEST_CASE(a_stalled_holder_stops_acting_after_a_failover) {
  RunningTask running(9);
  VirtualFleet& fleet = running.fleet();
  const std::size_t old_holder = *fleet.Holder();
  fleet.StallEntry(old_holder, minutes(1));
  fleet.RunFor(seconds(30));
  BOOST_TEST(std::holds_alternative<Holding>(
      fleet.entry(1 - old_holder).cell_.stage()));
  fleet.RunFor(minutes(1));
  BOOST_TEST(
      !std::holds_alternative<Holding>(fleet.entry(old_holder).cell_.stage()));
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 1);
  running.ExpectNoViolation();
}

BOOST_AUTO_TEST_CASE(
    the_task_of_a_drained_instance_resumes_from_its_checkpoint) {
  RunningTask running(10);
  VirtualFleet& fleet = running.fleet();
  const std::size_t instance = running.InstanceOfTask();
  const EndpointId endpoint = fleet.agent(instance).policy_.endpoint();
  fleet.Command(*fleet.Holder(),
                DrainCommand::Builder().endpoint(endpoint).Build());
  fleet.RunFor(seconds(5));
  BOOST_TEST(running.InstanceOfTask() != instance);
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 2);
  const auto& tasks = fleet.worker(running.InstanceOfTask()).tasks();
  BOOST_REQUIRE(tasks.size() == 1U);
  BOOST_TEST(tasks.begin()->second.resumed_from().count() > 0);
  running.ExpectNoViolation();
}

// The holder, the store and an instance are unavailable together. The holder
// may have renewed the task's lease during the outage, so the task must not
// restart before the longest such lease has expired.
BOOST_AUTO_TEST_CASE(a_task_waits_for_the_longest_lease_after_a_joint_outage) {
  RunningTask running(11);
  VirtualFleet& fleet = running.fleet();
  const std::size_t instance = running.InstanceOfTask();
  const std::size_t old_holder = *fleet.Holder();
  fleet.store().SetDown(true);
  fleet.RunFor(minutes(1));
  fleet.SetPartitioned(1 - old_holder, instance, true);
  fleet.RunFor(minutes(1));
  fleet.StallEntry(old_holder, hours(3));
  fleet.store().SetDown(false);
  fleet.RunFor(minutes(30));
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 1);
  fleet.RunFor(hours(3));
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 2);
  running.ExpectNoViolation();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
