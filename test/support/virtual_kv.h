#ifndef QUETZALLINE_TEST_SUPPORT_VIRTUAL_KV_H_
#define QUETZALLINE_TEST_SUPPORT_VIRTUAL_KV_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/tick.h"
#include "messages/kvs_answer.h"
#include "messages/kvs_commit.h"
#include "messages/kvs_end_lease.h"
#include "messages/kvs_get.h"
#include "messages/kvs_list.h"
#include "messages/kvs_open_lease.h"
#include "messages/kvs_renew_lease.h"
#include "messages/kvs_watch.h"
#include "support/event_queue.h"

namespace quetzalline {

/// Simulates the platform's key-value store in virtual time: keys with
/// revisions, conditional commits, leases and watches. It can be unavailable,
/// reject single callers, lose responses of writes that took effect, and apply
/// writes late.
class VirtualKv {
 public:
  using Answer = std::function<void(const KvsAnswer&)>;

  VirtualKv(EventQueue& events, std::uint64_t seed)
      : events_(events), random_(seed) {}

  /// Perform a call and pass its result to answer. The caller's name is checked
  /// against the callers to reject.
  void Perform(const std::string& caller, const KvsGet& call, Answer answer);
  void Perform(const std::string& caller, const KvsList& call, Answer answer);
  void Perform(const std::string& caller, const KvsWatch& call, Answer answer);
  void Perform(const std::string& caller, const KvsCommit& call, Answer answer);
  void Perform(const std::string& caller, const KvsOpenLease& call,
               Answer answer);
  void Perform(const std::string& caller, const KvsRenewLease& call,
               Answer answer);
  void Perform(const std::string& caller, const KvsEndLease& call,
               Answer answer);

  /// Makes calls time out, or serves them again.
  void SetUnavailable(bool unavailable) { unavailable_ = unavailable; }
  /// Rejects the calls of one caller, or serves them again.
  void RejectCaller(const std::string& caller, bool rejected);
  /// Sets the percentage of commits whose response is lost. Half of them are
  /// applied up to four seconds late, if their preconditions still hold.
  void SetLostResponsePercent(int percent) { lost_response_percent_ = percent; }
  /// Rejects each commit that writes such a record, for its content.
  void RejectRecords(std::function<bool(const KvsPut&)> rejected) {
    rejected_records_ = std::move(rejected);
  }
  /// Refuses each commit that writes such a record as if the store was
  /// unavailable.
  void RefuseRecords(std::function<bool(const KvsPut&)> refused) {
    refused_records_ = std::move(refused);
  }
  /// Neither applies nor answers a commit that writes such a record.
  void DropRecords(std::function<bool(const KvsPut&)> dropped) {
    dropped_records_ = std::move(dropped);
  }
  /// Removes a key as if its lease had expired.
  void Revoke(const std::string& key);
  /// Writes a record. As with the store's adapter, readers get no record if it
  /// is not valid under its key.
  void Put(const std::string& key, const KvsRecord& record);
  /// Writes a value that no reader can decode.
  void PutUnreadable(const std::string& key);

  /// Returns the record of a key, or null if there is none or it cannot be
  /// decoded.
  const KvsRecord* Find(const std::string& key) const;
  /// Returns the number of calls received.
  std::int64_t calls() const { return calls_; }

 private:
  struct Item {
    /// Empty if the value cannot be decoded.
    std::optional<KvsRecord> record_;
    std::int64_t revision_ = 0;
    std::uint64_t lease_ = 0;
  };
  struct PendingWatch {
    KvsWatch call_;
    Answer answer_;
  };

  /// Runs the work at the store, unless the store is unavailable or rejects the
  /// caller; a rejected call fails as not done, the other with unknown outcome.
  void Serve(const std::string& caller, std::uint64_t ticket, Answer answer,
             std::function<KvsResult()> work);
  KvsResult Commit(const KvsCommit& call);
  void Write(const std::string& key, const std::optional<KvsRecord>& record,
             std::uint64_t lease);
  void Remove(const std::string& key);
  void ScheduleLeaseExpiry(std::uint64_t lease);
  KvsItems Changes(const KvsWatch& call) const;
  void NotifyWatches();

  EventQueue& events_;
  Random random_;
  std::map<std::string, Item> items_;
  std::map<std::string, std::int64_t> removed_;
  std::map<std::uint64_t, std::pair<Duration, Instant>> leases_;
  std::map<std::uint64_t, PendingWatch> watches_;
  std::uint64_t last_watch_ = 0;
  std::uint64_t last_lease_ = 0;
  std::int64_t revision_ = 1;
  std::set<std::string> rejected_callers_;
  std::function<bool(const KvsPut&)> rejected_records_;
  std::function<bool(const KvsPut&)> refused_records_;
  std::function<bool(const KvsPut&)> dropped_records_;
  bool unavailable_ = false;
  int lost_response_percent_ = 0;
  std::int64_t calls_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_VIRTUAL_KV_H_
