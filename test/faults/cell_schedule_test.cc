#include "support/cell_schedule.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

namespace quetzalline {
namespace {

std::uint64_t ReadNumber(const char* variable, std::uint64_t default_value) {
  const char* text = std::getenv(variable);
  return text == nullptr ? default_value : std::stoull(text);
}

// Seeds that once violated an invariant; they lie beyond the default range.
constexpr std::uint64_t kRegressionSeeds[] = {
    // Completions of a worker's earlier incarnation counted for the next one.
    449,
    // A runner executed commands that had queued while it was stalled.
    508,
    // A stalled holder acted before the store had confirmed its epoch.
    577,
    // Tasks of an unresponsive worker were reclaimed on an old confirmation.
    867,
    // Completions were acknowledged before the job's final state was stored.
    1367,
    // Tasks were reconciled although a later holder had renewed a lease.
    4771,
    // The capacity of a superseded run was reused while it still stopped.
    5587,
    // The worker model let a new incarnation execute a command meant for the
    // previous one.
    7265,
    // A previous holder reported a job of its successor as not found.
    8850,
    // A previous holder restarted the tasks of a worker that had shut down.
    30370,
    // A holder without the store acted on a majority that it had regained, or
    // that did not include a process which had read of its successor.
    30111,
    83862,
};

// The same for schedules with lost answers: a holder without the store started
// tasks of a job that its successor had cancelled.
constexpr std::uint64_t kLostAnswerRegressionSeeds[] = {81982, 91915, 91949};

// The same for schedules with late processes: an agent started tasks that had
// been ordered seconds before, and whose job had been cancelled since.
constexpr std::uint64_t kLateProcessRegressionSeeds[] = {
    300147,
    // An end was acknowledged while the commit of another end of its task was
    // in flight.
    4101469,
};

// The same for schedules with departures of workers.
constexpr std::uint64_t kDepartureRegressionSeeds[] = {
    // The lease of a worker that was lost with its agent was renewed.
    206,
};

// Schedules in which a task ran on two workers at once: a start under a lease
// by the clock of a worker's earlier incarnation reached the next one.
constexpr std::uint64_t kCrashingTaskRegressionSeed = 37;
constexpr std::uint64_t kChangingRoomRegressionSeed = 510039;

// A worker that was back got no work: the record that it was lost had been
// rejected, and was written alone after its return.
constexpr std::uint64_t kHeldBackLossSeed = 4101823;
constexpr std::uint64_t kHangingWorkerHeldBackLossSeed = 276;

void RunSeed(std::uint64_t seed,
             ScheduleFaults faults = ScheduleFaults::kTransient) {
  for (const std::string& violation : RunCellSchedule(seed, faults)) {
    BOOST_ERROR("seed " << seed << ": " << violation
                        << "; reproduce with scripts/cell-schedules " << seed
                        << " 1");
  }
}

// Runs the seeds that the environment selects; `count` seeds by default.
void RunSeeds(ScheduleFaults faults, std::uint64_t count) {
  const std::uint64_t first = ReadNumber("QUETZALLINE_FIRST_SEED", 1);
  const std::uint64_t seeds = ReadNumber("QUETZALLINE_SEEDS", count);
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    RunSeed(seed, faults);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_schedules)

// Guards against orders of faults that no single test covers. To run more
// seeds, use scripts/cell-schedules.
BOOST_AUTO_TEST_CASE(random_schedules_violate_no_invariant) {
  RunSeeds(ScheduleFaults::kTransient, 150);
}

// Guards against work that waits for ever for workers that are gone for good.
BOOST_AUTO_TEST_CASE(random_departures_of_workers_violate_no_invariant) {
  RunSeeds(ScheduleFaults::kDepartures, 150);
  for (const std::uint64_t seed : kDepartureRegressionSeeds) {
    RunSeed(seed, ScheduleFaults::kDepartures);
  }
}

// Guards against work that is started again although an earlier run works on,
// or has ended, at a worker whose answers are lost or whose runner answers
// late.
BOOST_AUTO_TEST_CASE(random_lost_answers_violate_no_invariant) {
  RunSeeds(ScheduleFaults::kLostAnswers, 150);
  for (const std::uint64_t seed : kLostAnswerRegressionSeeds) {
    RunSeed(seed, ScheduleFaults::kLostAnswers);
  }
}

// Guards against starts that exceed a capacity which has shrunk, and against
// work that does not start once it has grown again.
BOOST_AUTO_TEST_CASE(random_changes_of_capacity_violate_no_invariant) {
  RunSeeds(ScheduleFaults::kChangingRooms, 150);
  RunSeed(kChangingRoomRegressionSeed, ScheduleFaults::kChangingRooms);
  RunSeed(kHeldBackLossSeed, ScheduleFaults::kChangingRooms);
}

// Guards against tasks that each new holder holds back anew, and against work
// that is started again on the word of the previous holder.
BOOST_AUTO_TEST_CASE(random_changes_of_holders_violate_no_invariant) {
  RunSeeds(ScheduleFaults::kHolderChanges, 150);
}

// Guards against conclusions of a process that is late with its own work: that
// others are silent, or that what they ran has lapsed.
BOOST_AUTO_TEST_CASE(random_late_processes_violate_no_invariant) {
  RunSeeds(ScheduleFaults::kLateProcesses, 150);
  for (const std::uint64_t seed : kLateProcessRegressionSeeds) {
    RunSeed(seed, ScheduleFaults::kLateProcesses);
  }
}

// Guards against workers that get no work, and capacity that stays taken, for
// runs whose ends were lost.
BOOST_AUTO_TEST_CASE(random_lost_ends_violate_no_invariant) {
  RunSeeds(ScheduleFaults::kLostEnds, 150);
}

// Guards against starts that wait for a worker which does not answer, and are
// sent or executed after their job was cancelled.
BOOST_AUTO_TEST_CASE(random_hanging_workers_violate_no_invariant) {
  RunSeeds(ScheduleFaults::kHangingWorkers, 150);
  RunSeed(kHangingWorkerHeldBackLossSeed, ScheduleFaults::kHangingWorkers);
}

// Guards against submissions that wait in an entry, or on their way to the
// holder, and are accepted after their job was cancelled as unknown.
BOOST_AUTO_TEST_CASE(random_abandoned_calls_violate_no_invariant) {
  RunSeeds(ScheduleFaults::kAbandonedCalls, 150);
}

BOOST_AUTO_TEST_CASE(regression_seeds_violate_no_invariant) {
  for (const std::uint64_t seed : kRegressionSeeds) RunSeed(seed);
  RunSeed(kCrashingTaskRegressionSeed, ScheduleFaults::kCrashingTasks);
}

BOOST_AUTO_TEST_SUITE_END()

// Kinds of schedules that find a known failure; KNOWN-RED.txt lists them, and
// CI does not run them.
BOOST_AUTO_TEST_SUITE(known_red_schedules)

// Guards against a task that crashes one worker after the other, and against
// giving up work that ran beside such a task.
BOOST_AUTO_TEST_CASE(random_crashing_tasks_violate_no_invariant) {
  RunSeeds(ScheduleFaults::kCrashingTasks, 150);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
