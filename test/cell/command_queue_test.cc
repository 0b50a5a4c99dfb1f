#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "support/placement_fleet.h"
#include "support/virtual_cell.h"
#include "systems/runner/execute_run_commands.h"
#include "systems/runner/manage_holder_session.h"
#include "systems/runner/runner_node.h"
#include "systems/runner/send_commands.h"
#include "systems/runner/watch_worker.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kCommandsInFlight = 4;
constexpr std::uint64_t kQueuedJob = kCommandsInFlight + 1;
constexpr std::int64_t kWorkerClockMs = 100'000;
constexpr std::int64_t kLeaseMs = 5000;
constexpr std::int64_t kReport = 7;
// Time for which a start may wait.
constexpr Duration kStartValidity = milliseconds(2000);

RunKey FirstRunOf(std::uint64_t job) {
  return RunKey::Builder()
      .task(TaskKey::Builder().job(job).Build())
      .run(1)
      .Build();
}

// A runner whose worker answers no command: as many starts as may be in flight
// have no answer, and the next one waits.
struct BusyRunner {
  BusyRunner() {
    Announce(false);
    tables_.session_ = HolderSession::Builder()
                           .connection(kHolder)
                           .epoch(1)
                           .session(1)
                           .synced(true)
                           .Build();
    tables_.clock_ =
        WorkerClock::Builder().clock_ms(kWorkerClockMs).read_at(now_).Build();
    tables_.lease_end_ms_ = kWorkerClockMs + kLeaseMs;
    tables_.report_times_[kReport] = now_;
    for (std::uint64_t job = 1; job <= kQueuedJob; ++job) Start(job);
  }

  RunnerTick Tick() { return RunnerTick(now_, random_, tables_.counters_); }

  void Announce(bool draining) {
    RunnerTick tick = Tick();
    HandleWorkerAnnounced(WorkerAnnounced::Builder()
                              .facts(WorkerDescription::Builder()
                                         .worker("worker")
                                         .born_ms(1)
                                         .cpu(64'000)
                                         .memory_mb(64'000)
                                         .draining(draining)
                                         .Build())
                              .sequence(++last_sequence_)
                              .Build(),
                          tables_, tick);
  }

  void Start(std::uint64_t job, std::int64_t report = kReport) {
    RunnerTick tick = Tick();
    HandleStartRun(StartRun::Builder()
                       .run(FirstRunOf(job))
                       .born_ms(1)
                       .cpu(1000)
                       .memory_mb(1000)
                       .report(report)
                       .Build(),
                   tables_, tick);
    Send(tick);
  }

  void Stop(std::uint64_t job) {
    RunnerTick tick = Tick();
    HandleStopRun(StopRun::Builder().run(FirstRunOf(job)).Build(), tables_,
                  tick);
    Send(tick);
  }

  // Sends what may be sent once the worker has answered the oldest command.
  void AnswerOne() {
    RunnerTick tick = Tick();
    tables_.worker_answered_at_ = now_;
    if (!tables_.calls_.empty()) tables_.calls_.erase(tables_.calls_.begin());
    Send(tick);
  }

  void AnswerAll() {
    tables_.calls_.clear();
    AnswerOne();
  }

  void Send(RunnerTick& tick) {
    SendCommands(tables_, tick);
    for (const RunnerEffect& effect : tick.TakeEffects()) {
      if (const auto* start = std::get_if<WorkerStart>(&effect)) {
        starts_.push_back(*start);
      }
      if (const auto* stop = std::get_if<WorkerStop>(&effect)) {
        stops_.push_back(stop->run().task().job());
      }
    }
  }

  bool WasStarted(std::uint64_t job) const {
    return std::any_of(starts_.begin(), starts_.end(),
                       [&](const WorkerStart& start) {
                         return start.run() == FirstRunOf(job);
                       });
  }

  // Returns true if the holder is told that the run does not start.
  bool IsRefused(std::uint64_t job, Reason reason) const {
    const RunRefused refused =
        RunRefused::Builder().run(FirstRunOf(job)).reason(reason).Build();
    return std::count(tables_.refusals_.begin(), tables_.refusals_.end(),
                      refused) == 1;
  }

  static inline const ConnectionId kHolder{1};
  Instant now_ = kFleetNow;
  Random random_{1};
  RunnerTables tables_;
  std::int64_t last_sequence_ = 0;
  std::vector<WorkerStart> starts_;
  std::vector<std::uint64_t> stops_;
};

// What happens to the holder, or to the agent of the hanging worker.
enum class Change : std::uint8_t {
  kNone,
  kHolderKilled,
  kHolderStalled,
  kAgentStalled,
  kAgentDisconnected,
  kAgentPartitioned
};

// A worker hangs, and jobs with tasks on it are cancelled. Times count from the
// submission of the jobs.
struct Hang {
  Duration length_{};
  Duration cancel_at_{};
  Change change_ = Change::kNone;
  Duration change_at_{};
};

std::string Describe(const Hang& hang) {
  const auto ms = [](Duration time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
  };
  return "hang " + ms(hang.length_) + " ms, cancelled at " +
         ms(hang.cancel_at_) + " ms, change " +
         std::to_string(static_cast<int>(hang.change_)) + " at " +
         ms(hang.change_at_) + " ms";
}

void Apply(Change change, std::size_t agent, VirtualCell& cell) {
  constexpr Duration kStall = milliseconds(1500);
  const std::optional<std::size_t> holder = cell.Holder();
  switch (change) {
    case Change::kNone:
      return;
    case Change::kHolderKilled:
      if (holder) cell.KillAgent(*holder);
      return;
    case Change::kHolderStalled:
      if (holder) cell.StallAgent(*holder, 2 * kStall);
      return;
    case Change::kAgentStalled:
      return cell.StallAgent(agent, kStall);
    case Change::kAgentDisconnected:
      return cell.CloseConnections(agent);
    case Change::kAgentPartitioned:
      return cell.SetAgentPartitioned(agent, true, false);
  }
}

// Returns true if no guarantee was violated, and all cancellations were
// acknowledged.
bool Holds(const Hang& hang) {
  constexpr Duration kStep = milliseconds(10);
  constexpr int kJobs = 3;
  VirtualCell cell(3, 2, 1);
  cell.RunFor(seconds(5));
  const std::size_t agent = cell.Holder() == std::size_t{0} ? 1 : 0;
  cell.worker(agent).SetHung(true);
  std::vector<std::uint64_t> jobs;
  for (int i = 0; i < kJobs; ++i) {
    jobs.push_back(cell.Submit(JobDefinition::Builder()
                                   .spec("spec")
                                   .steps({JobStep::Builder()
                                               .count(32)
                                               .cpu(100)
                                               .memory_mb(10)
                                               .estimate(seconds(20))
                                               .Build()})
                                   .Build()));
  }
  for (Duration now{}; now < hang.length_; now += kStep) {
    if (now == hang.change_at_) Apply(hang.change_, agent, cell);
    if (now == hang.cancel_at_) {
      for (const std::uint64_t job : jobs) cell.Cancel(job);
    }
    cell.RunFor(kStep);
  }
  cell.worker(agent).SetHung(false);
  cell.RunFor(seconds(2));
  cell.SetAgentPartitioned(agent, false, false);
  cell.RunFor(seconds(8));
  for (const std::string& violation : cell.log().violations()) {
    BOOST_TEST_MESSAGE(Describe(hang) << ": " << violation);
  }
  const bool acknowledged = std::all_of(
      jobs.begin(), jobs.end(),
      [&](std::uint64_t job) { return cell.log().IsCancelled(job); });
  if (!acknowledged) BOOST_TEST_MESSAGE(Describe(hang) << ": not cancelled");
  return acknowledged && cell.log().violations().empty();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(command_queues)

// Starts for a worker that hangs must not reach it once their jobs have been
// cancelled, whatever happens to the holder or to the agent meanwhile.
BOOST_AUTO_TEST_CASE(no_task_of_a_cancelled_job_starts_after_a_hang) {
  int violations = 0;
  for (const auto length : {1500, 3400, 4300, 5500}) {
    for (const auto cancel_at : {50, 200, 1000}) {
      for (int change = 0;
           change <= static_cast<int>(Change::kAgentPartitioned); ++change) {
        for (const auto change_at : {30, 180, 230, 1200}) {
          const Hang hang{milliseconds(length), milliseconds(cancel_at),
                          static_cast<Change>(change), milliseconds(change_at)};
          if (!Holds(hang)) ++violations;
          if (hang.change_ == Change::kNone) break;
        }
      }
    }
  }
  BOOST_TEST(violations == 0);
}

// A start that waits for the worker is obsolete once the holder revokes it.
BOOST_AUTO_TEST_CASE(a_stop_withdraws_a_start_that_was_not_sent) {
  BusyRunner runner;
  BOOST_TEST(runner.WasStarted(kCommandsInFlight));
  runner.Stop(kQueuedJob);
  BOOST_TEST(runner.IsRefused(kQueuedJob, Reason::kCancelled));
  runner.AnswerAll();
  BOOST_TEST(!runner.WasStarted(kQueuedJob));
  BOOST_TEST(runner.stops_.empty());
  BusyRunner other;
  other.AnswerAll();
  BOOST_TEST(other.WasStarted(kQueuedJob));
}

// A holder that has lost the runner can't revoke its starts, and the next one
// knows nothing of them.
BOOST_AUTO_TEST_CASE(a_start_is_not_sent_after_its_session) {
  for (const bool attaches : {true, false}) {
    BusyRunner runner;
    RunnerTick tick = runner.Tick();
    if (attaches) {
      HandleAttach(ConnectionId(2),
                   AttachRunner::Builder().epoch(2).session(1).Build(),
                   runner.tables_, tick);
    } else {
      HandleHolderDisconnected(
          ConnectionClosed::Builder().connection(BusyRunner::kHolder).Build(),
          runner.tables_, tick);
    }
    runner.AnswerAll();
    BOOST_TEST(!runner.WasStarted(kQueuedJob));
    BOOST_TEST(runner.tables_.runs_.size() == kCommandsInFlight);
  }
}

// Tasks must not start on a worker long after it has announced that it drains.
BOOST_AUTO_TEST_CASE(a_draining_worker_gets_no_start_that_waited) {
  BusyRunner runner;
  runner.Announce(true);
  BOOST_TEST(runner.IsRefused(kQueuedJob, Reason::kDrain));
  runner.Start(kQueuedJob + 1);
  BOOST_TEST(runner.IsRefused(kQueuedJob + 1, Reason::kDrain));
  runner.AnswerAll();
  BOOST_TEST(!runner.WasStarted(kQueuedJob));
  BOOST_TEST(!runner.WasStarted(kQueuedJob + 1));
}

// The holder may have revoked a start without this process knowing, for as long
// as nothing has arrived from it. The age of a start counts from the report
// that the holder had received, so time on the way and in a stalled process
// counts.
BOOST_AUTO_TEST_CASE(a_start_is_refused_once_it_is_old) {
  BusyRunner runner;
  runner.now_ += kStartValidity - milliseconds(1);
  runner.AnswerOne();
  BOOST_TEST(runner.WasStarted(kQueuedJob));
  BusyRunner late;
  late.now_ += kStartValidity;
  late.AnswerAll();
  BOOST_TEST(!late.WasStarted(kQueuedJob));
  BOOST_TEST(late.IsRefused(kQueuedJob, Reason::kHeartbeatMissed));
  late.Start(kQueuedJob + 1);
  BOOST_TEST(late.IsRefused(kQueuedJob + 1, Reason::kHeartbeatMissed));
  late.Start(kQueuedJob + 2, kReport - 1);
  BOOST_TEST(late.IsRefused(kQueuedJob + 2, Reason::kHeartbeatMissed));
}

// A start may wait on its way to the worker, and in the worker. The worker
// rejects it by the end of its lease.
BOOST_AUTO_TEST_CASE(a_start_carries_a_lease_that_ends_while_it_is_valid) {
  BusyRunner runner;
  const std::int64_t valid_ms =
      std::chrono::duration_cast<milliseconds>(kStartValidity).count();
  for (const WorkerStart& start : runner.starts_) {
    BOOST_TEST(start.lease_end_ms() > kWorkerClockMs);
    BOOST_TEST(start.lease_end_ms() <= kWorkerClockMs + valid_ms);
  }
  runner.tables_.lease_end_ms_ = kWorkerClockMs + 1;
  runner.AnswerOne();
  BOOST_TEST(runner.starts_.back().lease_end_ms() == kWorkerClockMs + 1);
}

// Stops must not wait behind starts, nor fill the queue while they are
// repeated.
BOOST_AUTO_TEST_CASE(stops_go_first_and_wait_once) {
  BusyRunner runner;
  runner.Stop(1);
  runner.now_ += milliseconds(800);
  RunnerTick tick = runner.Tick();
  RetryStops(runner.tables_, tick);
  BOOST_TEST(runner.tables_.queued_commands_.size() == 2U);
  runner.AnswerOne();
  BOOST_TEST(runner.stops_.size() == 1U);
  BOOST_TEST(!runner.WasStarted(kQueuedJob));
  runner.AnswerOne();
  BOOST_TEST(runner.stops_.size() == 1U);
  BOOST_TEST(runner.WasStarted(kQueuedJob));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
