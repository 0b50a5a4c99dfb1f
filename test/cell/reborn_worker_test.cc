#include <boost/test/unit_test.hpp>
#include <string>

#include "support/virtual_cell.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAgents = 3;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kFirstStep = milliseconds(-800);
constexpr Duration kLastStep = milliseconds(2000);
// Two tasks a worker leave room for those of a lost one.
constexpr std::int32_t kTasks = 6;
constexpr std::int32_t kTasksPerWorker = 3;
// Every lease has expired by then, and all tasks have started again.
constexpr Duration kRecoveryTime = seconds(16);

enum class Loss : std::uint8_t { kAnswers, kHolder };

// A worker that crashes, starts again under its id, gets work, and is lost to
// its agent or to the holder. Times count from the crash.
struct Rebirth {
  // Moves the crash between two announcements of the worker.
  Duration warm_up_{};
  Duration downtime_{};
  Duration work_at_{};
  Duration loss_at_{};
  Duration loss_time_{};
  Loss loss_ = Loss::kAnswers;
};

std::string Describe(const Rebirth& rebirth) {
  const auto ms = [](Duration time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
  };
  return "warm-up " + ms(rebirth.warm_up_) + " ms, downtime " +
         ms(rebirth.downtime_) + " ms, work at " + ms(rebirth.work_at_) +
         " ms, loss at " + ms(rebirth.loss_at_) + " ms for " +
         ms(rebirth.loss_time_) + " ms";
}

JobDefinition LongJob() {
  const JobStep step = JobStep::Builder()
                           .count(kTasks)
                           .cpu(5000)
                           .memory_mb(100)
                           .estimate(seconds(60))
                           .most_per_worker(kTasksPerWorker)
                           .Build();
  return JobDefinition::Builder().spec("spec").steps({step}).Build();
}

void SetLoss(bool lost, Loss loss, std::size_t agent, VirtualCell& cell) {
  if (loss == Loss::kAnswers) return cell.worker(agent).SetMute(lost);
  cell.SetAgentPartitioned(agent, lost, lost);
}

// Returns true if no guarantee was violated.
bool Holds(const Rebirth& rebirth) {
  VirtualCell cell(kAgents, 1, 1);
  cell.RunFor(seconds(5) + rebirth.warm_up_);
  const std::size_t agent = cell.Holder() == std::size_t{0} ? 1 : 0;
  for (Duration now = kFirstStep; now < kLastStep; now += kStep) {
    if (now == rebirth.loss_at_) SetLoss(true, rebirth.loss_, agent, cell);
    if (now == Duration()) cell.worker(agent).CrashFor(rebirth.downtime_);
    if (now == rebirth.work_at_) cell.Submit(LongJob());
    cell.RunFor(kStep);
  }
  cell.RunFor(rebirth.loss_at_ + rebirth.loss_time_ - kLastStep);
  SetLoss(false, rebirth.loss_, agent, cell);
  cell.RunFor(kRecoveryTime);
  for (const std::string& violation : cell.log().violations()) {
    BOOST_TEST_MESSAGE(Describe(rebirth) << ": " << violation);
  }
  return cell.log().violations().empty();
}

// Plays the crash with the work and the loss at every distance from it, and
// returns the number of cases that violated a guarantee.
int CountViolations(Loss loss) {
  int violations = 0;
  for (const auto warm_up : {0, 700}) {
    for (const auto downtime : {0, 100, 500, 1200}) {
      for (const auto work_at : {-200, -20, 0, 10, 50, 200, 600, 1500}) {
        for (const auto loss_at : {-700, -300, -10, 0, 20, 100, 400, 1600}) {
          for (const auto loss_time : {3000, 9000}) {
            const Rebirth rebirth{
                milliseconds(warm_up),   milliseconds(downtime),
                milliseconds(work_at),   milliseconds(loss_at),
                milliseconds(loss_time), loss};
            if (!Holds(rebirth)) ++violations;
          }
        }
      }
    }
  }
  return violations;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(reborn_workers)

// A worker that starts again under its id executes calls that were meant for
// its earlier incarnation, and its answers are lost. Guards against a task that
// runs there under a lease by the earlier clock while it is started elsewhere.
BOOST_AUTO_TEST_CASE(
    a_lease_by_an_earlier_clock_outlives_no_restart_of_a_task) {
  BOOST_TEST(CountViolations(Loss::kAnswers) == 0);
}

// The same where the agent loses the holder, which can't learn of the restart.
BOOST_AUTO_TEST_CASE(a_restarted_worker_without_a_holder_runs_no_task_twice) {
  BOOST_TEST(CountViolations(Loss::kHolder) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
