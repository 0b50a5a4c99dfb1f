#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "support/fleet_fixtures.h"
#include "systems/entry/divide_journal_entry.h"
#include "systems/entry/report_status.h"
#include "wire/record_codec.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

SubmitJob Job(int number, const std::string& task) {
  return SubmitJob::Builder()
      .job(JobId("j" + std::to_string(number)))
      .service(ServiceName("quotes"))
      .task(task)
      .Build();
}

// Expects that the next holder replays the journal to the tasks and states that
// the current holder has.
void ExpectReplayEqualsHolder(VirtualFleet& fleet) {
  const std::size_t holder = *fleet.Holder();
  const auto before = fleet.entry(holder).tasks_.size();
  std::vector<std::string> states;
  for (const auto& [id, task] : fleet.entry(holder).tasks_.rows()) {
    states.push_back(id.value() + " " + StateName(task));
  }
  fleet.KillEntry(holder);
  fleet.RunFor(seconds(10));
  BOOST_REQUIRE(fleet.Holder());
  const EntryTables& successor = fleet.entry(*fleet.Holder());
  BOOST_TEST(successor.tasks_.size() == before);
  std::vector<std::string> replayed;
  for (const auto& [id, task] : successor.tasks_.rows()) {
    replayed.push_back(id.value() + " " + StateName(task));
  }
  BOOST_TEST(replayed == states, boost::test_tools::per_element());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(journal)

BOOST_AUTO_TEST_CASE(the_journal_stays_bounded) {
  SmallFleet small(1, 2, 3);
  VirtualFleet& fleet = small.fleet_;
  for (int i = 0; i < 400; ++i) {
    fleet.Command(*fleet.Holder(), Job(i, "watch"));
    fleet.RunFor(milliseconds(100));
  }
  const EntryTables& holder = fleet.entry(*fleet.Holder());
  BOOST_TEST(holder.cell_.sequence() > 400U);
  // The keys of the service, the lease and the snapshot, and at most one key
  // for each of the 64 journal slots.
  BOOST_TEST(fleet.store().store().Read("").size() <= 3U + 64U);
  ExpectReplayEqualsHolder(fleet);
}

BOOST_AUTO_TEST_CASE(journal_writes_are_batched) {
  SmallFleet small(2, 1, 3);
  VirtualFleet& fleet = small.fleet_;
  fleet.RunFor(seconds(5));
  const std::int64_t before =
      fleet.entry(0).counters_.Total(Counter::kJournalWrites);
  for (int i = 0; i < 700; ++i) fleet.Command(0, Job(i, "long"));
  fleet.RunFor(seconds(1));
  const std::int64_t writes =
      fleet.entry(0).counters_.Total(Counter::kJournalWrites) - before;
  BOOST_TEST(writes <= 20);
  BOOST_TEST(fleet.entry(0).tasks_.size() == 700U);
}

// One job whose record the store does not accept held up every later record.
BOOST_AUTO_TEST_CASE(a_job_that_cannot_be_stored_holds_up_no_other) {
  SmallFleet small(4, 1, 3);
  VirtualFleet& fleet = small.fleet_;
  fleet.RunFor(seconds(5));
  const JobId rejected("j7");
  fleet.store().RejectWrites([&](const StoreWrite& write) {
    const auto* entry = std::get_if<JournalEntry>(&*write.record());
    if (entry == nullptr) return false;
    return std::any_of(entry->records().begin(), entry->records().end(),
                       [&](const JournalRecord& record) {
                         const auto* job = std::get_if<TaskAccepted>(&record);
                         return job != nullptr && job->job() == rejected;
                       });
  });
  for (int i = 0; i < 20; ++i) fleet.Command(0, Job(i, "watch"));
  fleet.RunFor(seconds(2));
  const EntryTables& holder = fleet.entry(0);
  BOOST_TEST(holder.tasks_.size() == 19U);
  BOOST_TEST(holder.tasks_.TasksOfJob(rejected).empty());
  BOOST_TEST(holder.commands_.CommandsOfJob(rejected).empty());
}

// The records of many jobs at once exceeded the size of a value, and the entry
// was written again for ever.
BOOST_AUTO_TEST_CASE(an_entry_that_is_too_large_is_divided) {
  constexpr std::size_t kValueBytes = 4000;
  SmallFleet small(2, 1, 3);
  VirtualFleet& fleet = small.fleet_;
  fleet.RunFor(seconds(5));
  fleet.store().RejectWrites([](const StoreWrite& write) {
    return std::holds_alternative<JournalEntry>(*write.record()) &&
           EncodeRecord(*write.record()).size() > kValueBytes;
  });
  for (int i = 0; i < 100; ++i) fleet.Command(0, Job(i, "long"));
  fleet.RunFor(seconds(5));
  BOOST_TEST(fleet.entry(0).tasks_.size() == 100U);
}

// Checkpoints have the size that workers choose. One that makes a record too
// large is left out, and the end of its task is stored.
BOOST_AUTO_TEST_CASE(an_end_is_stored_without_a_checkpoint_that_is_too_large) {
  EntryTables tables;
  Random random(1);
  EntryTick tick(Instant(seconds(1)), random, tables.counters_);
  const TaskEnded end =
      TaskEnded::Builder()
          .news(TaskStopped::Builder().checkpoint("large").Build())
          .Build();
  tables.cell_ = CellHolding::Builder()
                     .stage(Holding())
                     .slot_indexes(std::vector<std::int64_t>(64))
                     .Build();
  tables.journal_.SetInFlight(
      JournalEntry::Builder().sequence(1).records({end}).Build());
  DivideRejectedEntry(tables, tick);
  const JournalRecord reduced = tables.journal_.in_flight()->records().front();
  BOOST_TEST(
      (reduced ==
       JournalRecord(TaskEnded::Builder(end).news(TaskStopped()).Build())));
}

// Without room in the journal nothing is stored, so a snapshot has to be
// accepted in the end.
BOOST_AUTO_TEST_CASE(a_snapshot_that_is_too_large_leaves_checkpoints_out) {
  EntryTables tables;
  Random random(1);
  EntryTick tick(Instant(seconds(1)), random, tables.counters_);
  for (int i = 0; i < 4; ++i) {
    tables.tasks_.Put(Task::Builder()
                          .id(TaskId("j/" + std::to_string(i)))
                          .state(Waiting::Builder().checkpoint("12345").Build())
                          .Build());
  }
  const auto checkpoints = [&] {
    int count = 0;
    for (const Task& task : SnapshotTasks(tables)) {
      if (!std::get<Waiting>(task.state()).checkpoint().empty()) ++count;
    }
    return count;
  };
  BOOST_TEST(checkpoints() == 4);
  ShrinkSnapshot(tables, tick);
  BOOST_TEST(checkpoints() == 2);
  ShrinkSnapshot(tables, tick);
  ShrinkSnapshot(tables, tick);
  BOOST_TEST(checkpoints() == 0);
  BOOST_TEST(SnapshotTasks(tables).size() == 4U);
}

BOOST_AUTO_TEST_CASE(lost_responses_and_late_writes_lose_and_repeat_nothing) {
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    SmallFleet small(seed, 2, 4);
    VirtualFleet& fleet = small.fleet_;
    fleet.store().SetLostPercent(30);
    std::vector<std::uint64_t> commands;
    for (int i = 0; i < 12; ++i) {
      const std::size_t entry = fleet.Holder().value_or(0);
      commands.push_back(fleet.Command(entry, Job(i, "rebuild")));
      fleet.RunFor(seconds(3));
    }
    fleet.store().SetLostPercent(0);
    fleet.RunFor(minutes(3));
    BOOST_REQUIRE(fleet.Holder());
    for (std::size_t i = 0; i < commands.size(); ++i) {
      const CommandResult* result = fleet.Result(commands[i]);
      BOOST_REQUIRE(result != nullptr);
      if (!std::holds_alternative<JobAccepted>(*result)) continue;
      const TaskId id("j" + std::to_string(i) + "/1");
      const Task* task = fleet.entry(*fleet.Holder()).tasks_.Find(id);
      BOOST_REQUIRE(task != nullptr);
      BOOST_TEST(StateName(*task) == "finished");
    }
    for (const std::string& violation : fleet.log().violations()) {
      BOOST_ERROR("seed " << seed << ": " << violation);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_slow_store_violates_no_invariant) {
  SmallFleet small(4, 2, 3);
  VirtualFleet& fleet = small.fleet_;
  fleet.store().SetDelay(seconds(2));
  const std::uint64_t command =
      fleet.Command(*fleet.Holder(), Job(1, "rebuild"));
  fleet.RunFor(minutes(2));
  fleet.store().SetDelay(milliseconds(3));
  fleet.RunFor(minutes(1));
  BOOST_REQUIRE(fleet.Result(command) != nullptr);
  BOOST_TEST(fleet.log().violations().empty());
}

// A holder that was stalled past its lease must not append to the journal after
// its successor has sealed it.
BOOST_AUTO_TEST_CASE(a_seal_fences_off_the_previous_holder) {
  SmallFleet small(5, 2, 3);
  VirtualFleet& fleet = small.fleet_;
  const std::size_t old_holder = *fleet.Holder();
  fleet.StallEntry(old_holder, seconds(20));
  const std::uint64_t command = fleet.Command(old_holder, Job(1, "rebuild"));
  fleet.RunFor(seconds(15));
  BOOST_TEST(std::holds_alternative<Holding>(
      fleet.entry(1 - old_holder).cell_.stage()));
  fleet.RunFor(seconds(15));
  // The old holder resumed, tried to append, and got a conflict.
  BOOST_REQUIRE(fleet.Result(command) != nullptr);
  BOOST_TEST(!std::holds_alternative<JobAccepted>(*fleet.Result(command)));
  BOOST_TEST(fleet.entry(1 - old_holder).tasks_.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
