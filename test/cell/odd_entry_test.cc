#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>

#include "support/virtual_cell.h"
#include "systems/cell/cell_keys.h"
#include "systems/cell/validate_record.h"
#include "systems/scheduler/admit_jobs.h"

// Entries of the store that another writer left under the scheduler's keys:
// values that cannot be decoded, or that decode to something no holder writes.
// Each new holder reads them, so one such entry could end or block all of them.
namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobDefinition Job(std::int32_t count) {
  return JobDefinition::Builder()
      .spec("spec")
      .steps({JobStep::Builder()
                  .count(count)
                  .cpu(1000)
                  .memory_mb(100)
                  .estimate(milliseconds(300))
                  .Build()})
      .Build();
}

JobRecord Record(const JobDefinition& definition) {
  return JobRecord::Builder().definition(definition).Build();
}

JobDefinition JobAfter(std::int32_t step) {
  return JobDefinition::Builder()
      .steps({JobStep::Builder(Job(1).steps()[0]).after({step}).Build()})
      .Build();
}

constexpr std::uint64_t kOddJob = 0xdd0dd0;

// A cell of five agents and two entries that has elected its holder. Reports
// every violated invariant at its end.
struct ReadyCell {
  ReadyCell() : cell_(5, 2, 1) { cell_.RunFor(seconds(3)); }
  ~ReadyCell() {
    for (const std::string& violation : cell_.log().violations()) {
      BOOST_ERROR(violation);
    }
  }

  void KillHolder() {
    const std::size_t holder = *cell_.Holder();
    cell_.KillAgent(holder);
    cell_.RunFor(milliseconds(100));
    cell_.StartAgent(holder);
  }

  // Returns true if there is a holder that runs a new job to its end.
  bool RunsJobs() {
    if (!cell_.Holder()) return false;
    const std::uint64_t job = cell_.Submit(Job(4));
    cell_.RunFor(seconds(3));
    cell_.QueryJob(job);
    cell_.RunFor(milliseconds(100));
    return cell_.StateOf(job) == JobState::kCompleted;
  }

  VirtualCell cell_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_entries)

BOOST_AUTO_TEST_CASE(an_unreadable_epoch_does_not_prevent_an_election) {
  ReadyCell ready;
  const std::int64_t epoch =
      ready.cell_.scheduler(*ready.cell_.Holder()).term_.epoch();
  ready.cell_.kv().PutUnreadable(std::string(kEpochKey));
  ready.cell_.RunFor(seconds(8));
  BOOST_TEST(ready.RunsJobs());
  BOOST_REQUIRE(ready.cell_.Holder().has_value());
  BOOST_TEST(ready.cell_.scheduler(*ready.cell_.Holder()).term_.epoch() >
             epoch);
}

BOOST_AUTO_TEST_CASE(an_epoch_that_no_holder_can_reach_is_replaced) {
  for (const std::int64_t epoch :
       {std::numeric_limits<std::int64_t>::max(), std::int64_t{1} << 40,
        std::int64_t{0}, std::numeric_limits<std::int64_t>::min()}) {
    ReadyCell ready;
    ready.cell_.kv().Put(std::string(kEpochKey),
                         HolderRecord::Builder().epoch(epoch).Build());
    ready.cell_.RunFor(seconds(8));
    BOOST_TEST_CONTEXT("epoch " << epoch) { BOOST_TEST(ready.RunsJobs()); }
  }
}

// Nothing removes such a key: it is bound to no lease.
BOOST_AUTO_TEST_CASE(an_unreadable_holder_does_not_prevent_an_election) {
  ReadyCell ready;
  ready.cell_.kv().PutUnreadable(std::string(kHolderKey));
  ready.KillHolder();
  ready.cell_.RunFor(seconds(8));
  BOOST_TEST(ready.RunsJobs());
}

BOOST_AUTO_TEST_CASE(a_holder_key_with_another_record_prevents_no_election) {
  ReadyCell ready;
  ready.cell_.kv().Put(std::string(kHolderKey), MemberRecord());
  ready.KillHolder();
  ready.cell_.RunFor(seconds(8));
  BOOST_TEST(ready.RunsJobs());
}

// Each new holder loads the stored jobs.
BOOST_AUTO_TEST_CASE(an_odd_stored_job_does_not_stop_the_others) {
  const std::int32_t max32 = std::numeric_limits<std::int32_t>::max();
  const std::pair<const char*, JobDefinition> odd_jobs[] = {
      {"step after a later one", JobAfter(1'000'000'000)},
      {"step after a negative one", JobAfter(-1'000'000'000)},
      {"too many tasks", Job(max32)},
      {"negative count", Job(-5)},
      {"too many occurrences",
       JobDefinition::Builder(Job(1)).repeat_count(max32).Build()},
      {"no steps", JobDefinition()},
  };
  for (const auto& [name, definition] : odd_jobs) {
    ReadyCell ready;
    ready.cell_.kv().Put(JobKey(kOddJob), Record(definition));
    ready.KillHolder();
    ready.cell_.RunFor(seconds(10));
    BOOST_TEST_CONTEXT(name) { BOOST_TEST(ready.RunsJobs()); }
  }
}

BOOST_AUTO_TEST_CASE(a_record_under_the_key_of_another_kind_is_ignored) {
  ReadyCell ready;
  VirtualKv& kv = ready.cell_.kv();
  const std::int64_t version =
      ready.cell_.scheduler(*ready.cell_.Holder()).configuration_.version();
  kv.Put(
      JobKey(kOddJob),
      SchedulerConfiguration::Builder().version(std::int64_t{1} << 62).Build());
  kv.Put(ProgressKey(kOddJob), MemberRecord());
  kv.Put(std::string(kMemberPrefix), MemberRecord());
  kv.Put(MemberKey(MemberName("other")), Record(Job(1)));
  kv.Put(ConfirmedLostKey(MemberName("other")), JobProgress());
  kv.Put(std::string(kJobPrefix) + "99999999999999999999", Record(Job(1)));
  ready.KillHolder();
  ready.cell_.RunFor(seconds(10));
  BOOST_REQUIRE(ready.cell_.Holder().has_value());
  const SchedulerTables& tables = ready.cell_.scheduler(*ready.cell_.Holder());
  BOOST_TEST(tables.configuration_.version() == version);
  BOOST_TEST(tables.members_.size() == 7U);
  BOOST_TEST(tables.counters_.Total(Counter::kBadInputs) >= 6);
  BOOST_TEST(ready.RunsJobs());
}

// An entry of another release may pass on a job that this one refuses.
BOOST_AUTO_TEST_CASE(an_odd_job_of_an_entry_is_refused) {
  SchedulerTables tables;
  tables.stage_ = HolderActing();
  Random random(1);
  SchedulerTick tick(Instant(seconds(1)), random, tables.counters_);
  AcceptJob(ConnectionId(1),
            SubmitJobRequest::Builder()
                .ticket(7)
                .job(kOddJob)
                .record(Record(JobAfter(1'000'000'000)))
                .Build(),
            tables, tick);
  BOOST_TEST(tables.jobs_.size() == 0U);
  BOOST_TEST(tables.counters_.Total(Counter::kBadInputs) == 1);
  std::size_t refusals = 0;
  for (const SchedulerEffect& effect : tick.TakeEffects()) {
    const auto* sent = std::get_if<SendToGateway>(&effect);
    if (sent == nullptr) continue;
    if (std::holds_alternative<JobRefused>(sent->message())) ++refusals;
  }
  BOOST_TEST(refusals == 1U);
}

// A member that cannot be reached stays unreachable; the others are dialled.
BOOST_AUTO_TEST_CASE(a_member_without_a_usable_address_stops_no_other) {
  ReadyCell ready;
  ready.cell_.kv().Put(
      MemberKey(MemberName("99999999999999999999")),
      MemberRecord::Builder().address("127.0.0.1:99999").Build());
  ready.cell_.RunFor(seconds(1));
  BOOST_TEST(ready.RunsJobs());
  ready.KillHolder();
  ready.cell_.RunFor(seconds(20));
  BOOST_TEST(ready.RunsJobs());
}

// The queue in a job's record gives the job's deadline, which must not
// overflow.
BOOST_AUTO_TEST_CASE(a_stored_job_with_odd_queue_settings_is_refused) {
  const auto accepts = [](const JobQueue& queue) {
    const JobRecord record =
        JobRecord::Builder(Record(Job(1))).queue(queue).Build();
    return !ValidateRecord(JobKey(kOddJob), record);
  };
  BOOST_TEST(accepts(JobQueue()));
  const JobQueue::Builder queue;
  BOOST_TEST(!accepts(JobQueue::Builder(queue).stretch(1e300).Build()));
  BOOST_TEST(!accepts(JobQueue::Builder(queue).stretch(-1.0).Build()));
  BOOST_TEST(!accepts(JobQueue::Builder(queue)
                          .stretch(std::numeric_limits<double>::quiet_NaN())
                          .Build()));
  BOOST_TEST(
      !accepts(JobQueue::Builder(queue).objective(Duration::max()).Build()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
