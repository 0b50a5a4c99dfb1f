#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "records/store_record.h"
#include "systems/entry/entry_node.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCellLease = seconds(2);
constexpr Duration kTickInterval = milliseconds(20);

// The store's copy of the cell's lease, which another entry renews until it is
// killed.
class Lease {
 public:
  std::int64_t index() const { return index_; }

  void Renew() {
    ++index_;
    lease_ = CellLease::Builder()
                 .holder(EntryId("other"))
                 .incarnation(1)
                 .renewal(static_cast<std::uint64_t>(index_))
                 .Build();
  }

  StoreResult Write(const StoreWrite& write) {
    if (write.expected() != index_) return StoreConflict();
    lease_ = std::get<CellLease>(*write.record());
    return StoreWritten::Builder().index(++index_).Build();
  }

  StoreResult Read() const {
    StoreValues::Builder values;
    values.index(std::max<std::int64_t>(index_, 1));
    if (!lease_) return values.Build();
    return values
        .items({StoreItem::Builder()
                    .record(Shared<StoreRecord>(*lease_))
                    .index(index_)
                    .Build()})
        .Build();
  }

  const std::optional<CellLease>& lease() const { return lease_; }

 private:
  std::optional<CellLease> lease_;
  std::int64_t index_ = 0;
};

// An entry whose watches of the lease are never answered, as on a connection
// that has gone silent.
class EntryWithoutWatch {
 public:
  explicit EntryWithoutWatch(Lease& lease)
      : lease_(lease),
        node_(EntryPolicy::Builder()
                  .entry(EntryId("entry"))
                  .incarnation(1)
                  .cell("main")
                  .cell_lease(kCellLease)
                  .Build(),
              1) {}

  void RunFor(Duration time) {
    const Instant end = now_ + time;
    for (; now_ < end; now_ += kTickInterval) Tick();
  }

  int writes() const { return writes_; }

 private:
  void Tick() {
    const std::vector<EntryInput> inputs = std::exchange(answers_, {});
    for (const EntryEffect& effect : node_.RunTick(now_, inputs)) {
      if (const auto* read = std::get_if<StoreRead>(&effect)) {
        const bool of_lease = read->prefix().find("lease") != std::string::npos;
        Answer(read->ticket(), of_lease ? lease_.Read() : StoreValues());
      }
      if (const auto* write = std::get_if<StoreWrite>(&effect)) {
        ++writes_;
        Answer(write->ticket(), lease_.Write(*write));
      }
    }
  }

  void Answer(std::uint64_t ticket, const StoreResult& result) {
    answers_.push_back(
        StoreAnswer::Builder().ticket(ticket).result(result).Build());
  }

  Lease& lease_;
  EntryNode node_;
  Instant now_ = Instant(seconds(100));
  std::vector<EntryInput> answers_;
  int writes_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_leases)

// Guards against a cell without a holder until a lost watch of its lease times
// out: the entry learns from its rejected write that the lease has changed.
BOOST_AUTO_TEST_CASE(an_entry_whose_watch_is_lost_takes_over_in_time) {
  Lease lease;
  EntryWithoutWatch entry(lease);
  entry.RunFor(kTickInterval);
  lease.Renew();
  for (int i = 0; i < 6; ++i) {
    entry.RunFor(kCellLease / 3);
    lease.Renew();
  }
  BOOST_TEST(lease.lease()->holder().value() == "other");
  // Rejected writes come no more often than renewals.
  BOOST_TEST(entry.writes() <= 7);
  entry.RunFor(2 * kCellLease);
  BOOST_TEST(lease.lease()->holder().value() == "entry");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
