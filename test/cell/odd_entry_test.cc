#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>

#include "support/virtual_cell.h"
#include "systems/cell/cell_keys.h"

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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
