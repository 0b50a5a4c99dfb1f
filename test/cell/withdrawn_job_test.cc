#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "support/placement_fleet.h"
#include "support/virtual_cell.h"
#include "systems/cell/cell_keys.h"
#include "systems/gateway/gateway_node.h"
#include "systems/scheduler/build_commit.h"
#include "systems/scheduler/finish_job.h"
#include "systems/scheduler/track_jobs.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kStalledEntry = 0;
constexpr std::size_t kOtherEntry = 1;

JobDefinition TwoSteps() {
  const JobStep step = JobStep::Builder()
                           .count(2)
                           .cpu(1000)
                           .memory_mb(100)
                           .estimate(seconds(2))
                           .Build();
  return JobDefinition::Builder()
      .spec("spec")
      .steps({step, JobStep::Builder(step).after({0}).Build()})
      .Build();
}

// What happens to the holder.
enum class Change : std::uint8_t { kNone, kKilled, kStalled, kStopped };

// A caller submits a job at an entry that stalls, and cancels it at another
// one. Times count from the submission.
struct Abandonment {
  Duration stall_{};
  Duration cancel_at_{};
  Change change_ = Change::kNone;
  Duration change_at_{};
};

std::string Describe(const Abandonment& abandonment) {
  const auto ms = [](Duration time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
  };
  return "stalled for " + ms(abandonment.stall_) + " ms, cancelled at " +
         ms(abandonment.cancel_at_) + " ms, change " +
         std::to_string(static_cast<int>(abandonment.change_)) + " at " +
         ms(abandonment.change_at_) + " ms";
}

void Apply(Change change, VirtualCell& cell) {
  const std::optional<std::size_t> holder = cell.Holder();
  if (!holder) return;
  switch (change) {
    case Change::kNone:
      return;
    case Change::kKilled:
      return cell.KillAgent(*holder);
    case Change::kStalled:
      return cell.StallAgent(*holder, seconds(3));
    case Change::kStopped:
      return cell.StopAgent(*holder);
  }
}

// Returns true if the cancellation was acknowledged, and nothing started so
// long after it that this is a fault.
bool Holds(const Abandonment& abandonment) {
  constexpr Duration kStep = milliseconds(10);
  VirtualCell cell(3, 2, 1);
  cell.RunFor(seconds(5));
  cell.StallEntry(kStalledEntry, abandonment.stall_);
  const std::uint64_t job = cell.SubmitAt(TwoSteps(), kStalledEntry);
  const Duration end = std::max(
      {abandonment.stall_, abandonment.cancel_at_, abandonment.change_at_});
  for (Duration now{}; now <= end; now += kStep) {
    if (now == abandonment.cancel_at_) cell.CancelAt(job, kOtherEntry);
    if (now == abandonment.change_at_) Apply(abandonment.change_, cell);
    cell.RunFor(kStep);
  }
  cell.RunFor(seconds(20));
  const bool acknowledged = cell.log().IsCancelled(job);
  if (!acknowledged) {
    BOOST_TEST_MESSAGE(Describe(abandonment) << ": not cancelled");
  }
  for (const std::string& violation : cell.log().violations()) {
    BOOST_TEST_MESSAGE(Describe(abandonment) << ": " << violation);
  }
  return acknowledged && cell.log().violations().empty();
}

// An entry with a connection to the holder, or to the next one. It handles what
// has arrived in one tick.
class StalledGateway {
 public:
  StalledGateway()
      : node_(GatewayPolicy::Builder().member(MemberName("entry")).Build(), 1) {
    Tick({Attach(),
          GatewayMessageReceived::Builder()
              .connection(connection_)
              .message(ConfigurationNotice::Builder()
                           .configuration(SchedulerConfiguration::Builder()
                                              .version(1)
                                              .queues({JobQueue::Builder()
                                                           .name("queue")
                                                           .host("jobs.example")
                                                           .prefix("/queue/")
                                                           .Build()})
                                              .Build())
                           .Build())
              .Build()});
  }

  // Stalls the entry while another holder connects and a submission arrives.
  // Returns true if the submission is handed in.
  bool HandsIn(Duration stall) {
    now_ += stall;
    connection_ = ConnectionId(connection_.value() + 1);
    const auto effects =
        Tick({Attach(),
              JobCall::Builder()
                  .ticket(connection_.value())
                  .host("jobs.example")
                  .path("/queue/" + FormatJobId(connection_.value()))
                  .kind(SubmitCall::Builder().definition(TwoSteps()).Build())
                  .Build()});
    return std::any_of(
        effects.begin(), effects.end(), [](const GatewayEffect& effect) {
          const auto* sent = std::get_if<SendToHolder>(&effect);
          return sent != nullptr &&
                 std::holds_alternative<SubmitJobRequest>(sent->message());
        });
  }

 private:
  GatewayInput Attach() const {
    return GatewayMessageReceived::Builder()
        .connection(connection_)
        .message(AttachEntry::Builder()
                     .epoch(static_cast<std::int64_t>(connection_.value()))
                     .Build())
        .Build();
  }

  std::vector<GatewayEffect> Tick(const std::vector<GatewayInput>& inputs) {
    return node_.RunTick(now_, inputs);
  }

  GatewayNode node_;
  Instant now_ = kFleetNow;
  ConnectionId connection_{1};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(withdrawn_jobs)

// A submission waits in an entry that stalls, and its caller, which has left,
// cancels the job elsewhere. The job must not run when the submission arrives,
// whatever happens to the holder meanwhile (UNASKED).
BOOST_AUTO_TEST_CASE(a_job_that_was_cancelled_unknown_does_not_run) {
  int violations = 0;
  for (const auto stall : {100, 600, 1400, 3000, 9000}) {
    for (const auto cancel_at : {0, 30, 300, 1000}) {
      for (int change = 0; change <= static_cast<int>(Change::kStopped);
           ++change) {
        for (const auto change_at : {0, 20, 40, 320, 550, 1200}) {
          const Abandonment abandonment{
              milliseconds(stall), milliseconds(cancel_at),
              static_cast<Change>(change), milliseconds(change_at)};
          if (!Holds(abandonment)) ++violations;
          if (abandonment.change_ == Change::kNone) break;
        }
      }
    }
  }
  BOOST_TEST(violations == 0);
}

// The cell forgets a cancelled job after two minutes. An entry that has stalled
// for longer must not hand in what its callers left behind, not even to a
// holder that has connected meanwhile.
BOOST_AUTO_TEST_CASE(a_submission_outlasts_no_stall) {
  StalledGateway gateway;
  BOOST_TEST(gateway.HandsIn(seconds(1)));
  BOOST_TEST(!gateway.HandsIn(seconds(130)));
  BOOST_TEST(gateway.HandsIn(seconds(1)));
}

// To its callers, a job that was cancelled before it was accepted does not
// exist, also after a change of the holder.
BOOST_AUTO_TEST_CASE(a_withdrawn_job_is_not_found) {
  VirtualCell cell(3, 2, 1);
  cell.RunFor(seconds(5));
  cell.StallEntry(kStalledEntry, milliseconds(300));
  const std::uint64_t job = cell.SubmitAt(TwoSteps(), kStalledEntry);
  cell.CancelAt(job, kOtherEntry);
  cell.RunFor(seconds(1));
  BOOST_TEST(cell.log().IsCancelled(job));
  cell.KillAgent(*cell.Holder());
  cell.RunFor(seconds(5));
  cell.QueryJob(job);
  cell.Resubmit(job, kOtherEntry);
  cell.CancelAt(job, kOtherEntry);
  cell.RunFor(seconds(5));
  BOOST_TEST(cell.IsReportedNotFound(job));
  BOOST_TEST(!cell.StateOf(job));
  BOOST_TEST(!cell.IsAccepted(job));
  BOOST_TEST(cell.log().StartsOf(job) == 0);
}

// A commit whose outcome is unknown may have stored the record of a job that
// does not count as stored. Left behind, the record would bring the job back
// once its final state has expired.
BOOST_AUTO_TEST_CASE(a_final_state_removes_the_record_of_an_unstored_job) {
  PlacementFleet fleet(1);
  SchedulerTables& tables = fleet.tables();
  constexpr std::uint64_t kJob = 7;
  AddSubmittedJob(kJob, JobRecord::Builder().definition(TwoSteps()).Build(),
                  kFleetNow, tables);
  Random random(1);
  SchedulerTick tick(kFleetNow, random, tables.counters_);
  FinishJob(kJob, JobState::kCancelled, Reason::kCancelled, tables, tick);
  const CommitBatch batch = BuildCommit(tables, kFleetNow);
  BOOST_TEST(std::count(batch.removals_.begin(), batch.removals_.end(),
                        JobKey(kJob)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
