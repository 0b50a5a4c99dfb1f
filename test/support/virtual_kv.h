#ifndef QUETZALLINE_TEST_SUPPORT_VIRTUAL_KVS_H_
#define QUETZALLINE_TEST_SUPPORT_VIRTUAL_KVS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
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

/// The platform's store in virtual time: keys with revisions, guarded commits,
/// leases and watches. It can be away, turn single callers away, lose answers
/// after the write is done, and do writes late.
class VirtualKv {
 public:
  using Answer = std::function<void(const KvsAnswer&)>;

  VirtualKv(EventQueue& events, std::uint64_t seed)
      : events_(events), random_(seed) {}

  /// The caller's name decides whether it is turned away.
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

  void SetAway(bool away) { away_ = away; }
  void TurnAway(const std::string& caller, bool away);
  /// Share of commits, in percent, that are done and not answered; half of them
  /// are done seconds later, if their condition still holds.
  void LoseAnswers(int percent) { lost_percent_ = percent; }
  /// Removes a key as if its lease had ended.
  void Revoke(const std::string& key);
  void Put(const std::string& key, const KvsRecord& record);

  const KvsRecord* Find(const std::string& key) const;
  std::int64_t calls() const { return calls_; }

 private:
  struct Item {
    KvsRecord record_;
    std::int64_t revision_ = 0;
    std::uint64_t lease_ = 0;
  };
  struct Waiting {
    KvsWatch call_;
    Answer answer_;
  };

  /// Runs the work at the store unless it is away for the caller.
  void Serve(const std::string& caller, std::uint64_t ticket, Answer answer,
             std::function<KvsResult()> work);
  KvsResult Commit(const KvsCommit& call);
  void Write(const std::string& key, const KvsRecord& record,
             std::uint64_t lease);
  void Remove(const std::string& key);
  void ArmLease(std::uint64_t lease);
  KvsItems Changes(const KvsWatch& call) const;
  void WakeWatches();

  EventQueue& events_;
  Random random_;
  std::map<std::string, Item> items_;
  std::map<std::string, std::int64_t> removed_;
  std::map<std::uint64_t, std::pair<Duration, Instant>> leases_;
  std::map<std::uint64_t, Waiting> watches_;
  std::uint64_t last_watch_ = 0;
  std::uint64_t last_lease_ = 0;
  std::int64_t revision_ = 1;
  std::set<std::string> turned_away_;
  bool away_ = false;
  int lost_percent_ = 0;
  std::int64_t calls_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_VIRTUAL_KVS_H_
