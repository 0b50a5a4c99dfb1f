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

// A fleet in which one long task runs.
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

  std::size_t Place() {
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

  void CutAll(std::size_t agent, bool cut) {
    for (std::size_t i = 0; i < fleet().entries(); ++i) {
      fleet().SetPartitioned(i, agent, cut);
    }
  }

  void ExpectNoBreach() {
    for (const std::string& breach : fleet().log().violated()) {
      BOOST_ERROR(breach);
    }
  }

  inline static const TaskId kTask{"j/1"};

 private:
  SmallFleet small_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(task_faults)

BOOST_AUTO_TEST_CASE(a_new_holder_goes_on_with_what_the_journal_says) {
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
  running.ExpectNoBreach();
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

BOOST_AUTO_TEST_CASE(a_lost_instance_loses_its_task_after_its_lease) {
  RunningTask running(3);
  VirtualFleet& fleet = running.fleet();
  const std::size_t place = running.Place();
  fleet.KillInstance(place);
  fleet.RunFor(seconds(10));
  BOOST_TEST(!fleet.log().IsRunning(RunningTask::kTask));
  fleet.RunFor(seconds(15));
  BOOST_TEST(fleet.log().IsRunning(RunningTask::kTask));
  BOOST_TEST(running.Place() != place);
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 2);
  running.ExpectNoBreach();
}

// The end of the lost attempt is on its way into a slow store when the
// instance comes back; the attempt must not start there any more.
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
    for (const std::string& breach : fleet.log().violated()) {
      BOOST_ERROR(offset << " ms: " << breach);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_instance_that_is_cut_off_stops_before_its_task_moves) {
  RunningTask running(4);
  VirtualFleet& fleet = running.fleet();
  const std::size_t place = running.Place();
  running.CutAll(place, true);
  fleet.RunFor(minutes(1));
  BOOST_TEST(fleet.worker(place).tasks().empty());
  BOOST_TEST(fleet.log().IsRunning(RunningTask::kTask));
  running.CutAll(place, false);
  fleet.RunFor(minutes(1));
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 2);
  running.ExpectNoBreach();
}

BOOST_AUTO_TEST_CASE(a_paused_agent_cannot_keep_its_task_past_the_lease) {
  RunningTask running(5);
  VirtualFleet& fleet = running.fleet();
  fleet.StallAgent(running.Place(), minutes(1));
  fleet.RunFor(minutes(3));
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 2);
  running.ExpectNoBreach();
}

BOOST_AUTO_TEST_CASE(a_replaced_agent_takes_over_what_its_worker_runs) {
  RunningTask running(6);
  VirtualFleet& fleet = running.fleet();
  const std::size_t place = running.Place();
  fleet.KillAgent(place);
  fleet.RunFor(seconds(2));
  fleet.StartAgent(place);
  fleet.RunFor(minutes(11));
  BOOST_TEST(running.State() == "finished");
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 1);
  running.ExpectNoBreach();
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

BOOST_AUTO_TEST_CASE(an_outage_of_the_store_stops_no_running_work) {
  RunningTask running(8);
  VirtualFleet& fleet = running.fleet();
  fleet.store().SetDown(true);
  fleet.RunFor(hours(1));
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 1);
  BOOST_TEST(fleet.Holder().has_value());
  fleet.store().SetDown(false);
  fleet.RunFor(minutes(1));
  BOOST_TEST(running.State() == "finished");
  running.ExpectNoBreach();
}

BOOST_AUTO_TEST_CASE(a_paused_holder_acts_no_more_when_another_took_over) {
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
  running.ExpectNoBreach();
}

BOOST_AUTO_TEST_CASE(a_drained_instance_hands_its_task_on_with_its_checkpoint) {
  RunningTask running(10);
  VirtualFleet& fleet = running.fleet();
  const std::size_t place = running.Place();
  const EndpointId endpoint = fleet.agent(place).policy_.endpoint();
  fleet.Command(*fleet.Holder(),
                DrainCommand::Builder().endpoint(endpoint).Build());
  fleet.RunFor(seconds(5));
  BOOST_TEST(running.Place() != place);
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 2);
  const auto& tasks = fleet.worker(running.Place()).tasks();
  BOOST_REQUIRE(tasks.size() == 1U);
  BOOST_TEST(tasks.begin()->second.resumed_from().count() > 0);
  running.ExpectNoBreach();
}

// The holder, the store and an instance fall silent together. The instance may
// have been granted leases through the outage, so that its task waits for the
// longest of them.
BOOST_AUTO_TEST_CASE(holder_store_and_instance_silent_together) {
  RunningTask running(11);
  VirtualFleet& fleet = running.fleet();
  const std::size_t place = running.Place();
  const std::size_t old_holder = *fleet.Holder();
  fleet.store().SetDown(true);
  fleet.RunFor(minutes(1));
  fleet.SetPartitioned(1 - old_holder, place, true);
  fleet.RunFor(minutes(1));
  fleet.StallEntry(old_holder, hours(3));
  fleet.store().SetDown(false);
  fleet.RunFor(minutes(30));
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 1);
  fleet.RunFor(hours(3));
  BOOST_TEST(fleet.log().TaskRuns(RunningTask::kTask) == 2);
  running.ExpectNoBreach();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
