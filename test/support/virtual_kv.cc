#include "support/virtual_kv.h"

#include <algorithm>
#include <utility>

#include "systems/cell/validate_record.h"

namespace quetzalline {
namespace {

constexpr Duration kOneWayLatency = std::chrono::milliseconds(2);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
constexpr std::int64_t kMaxCommitDelayUs = 4'000'000;
constexpr std::int64_t kMaxPercentDraw = 99;

KvsAnswer MakeAnswer(std::uint64_t ticket, const KvsResult& result) {
  return KvsAnswer::Builder().ticket(ticket).result(result).Build();
}

KvsResult Failed(bool not_done) {
  return KvsFailed::Builder().not_done(not_done).Build();
}

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

void VirtualKv::RejectCaller(const std::string& caller, bool rejected) {
  if (rejected) {
    rejected_callers_.insert(caller);
  } else {
    rejected_callers_.erase(caller);
  }
}

void VirtualKv::Serve(const std::string& caller, std::uint64_t ticket,
                      Answer answer, std::function<KvsResult()> work) {
  ++calls_;
  events_.After(kOneWayLatency, [this, caller, ticket, answer, work] {
    if (rejected_callers_.count(caller) > 0) {
      events_.After(kOneWayLatency,
                    [=] { answer(MakeAnswer(ticket, Failed(true))); });
      return;
    }
    if (unavailable_) {
      events_.After(kCallTimeout,
                    [=] { answer(MakeAnswer(ticket, Failed(false))); });
      return;
    }
    const KvsResult result = work();
    events_.After(kOneWayLatency, [=] { answer(MakeAnswer(ticket, result)); });
  });
}

void VirtualKv::Perform(const std::string& caller, const KvsGet& call,
                        Answer answer) {
  Serve(caller, call.ticket(), std::move(answer), [this, call]() -> KvsResult {
    KvsItems::Builder items;
    items.revision(revision_);
    const auto found = items_.find(call.key());
    if (found == items_.end()) return items.Build();
    return items
        .items({KvsItem::Builder()
                    .key(call.key())
                    .record(found->second.record_)
                    .revision(found->second.revision_)
                    .Build()})
        .Build();
  });
}

void VirtualKv::Perform(const std::string& caller, const KvsList& call,
                        Answer answer) {
  Serve(caller, call.ticket(), std::move(answer), [this, call]() -> KvsResult {
    std::vector<KvsItem> items;
    for (const auto& [key, item] : items_) {
      if (!HasPrefix(key, call.prefix())) continue;
      items.push_back(KvsItem::Builder()
                          .key(key)
                          .record(item.record_)
                          .revision(item.revision_)
                          .Build());
    }
    return KvsItems::Builder()
        .items(std::move(items))
        .revision(revision_)
        .Build();
  });
}

KvsItems VirtualKv::Changes(const KvsWatch& call) const {
  std::vector<KvsItem> items;
  std::vector<std::string> removed;
  for (const auto& [key, item] : items_) {
    if (!HasPrefix(key, call.prefix())) continue;
    if (item.revision_ <= call.after()) continue;
    items.push_back(KvsItem::Builder()
                        .key(key)
                        .record(item.record_)
                        .revision(item.revision_)
                        .Build());
  }
  for (const auto& [key, revision] : removed_) {
    if (!HasPrefix(key, call.prefix()) || revision <= call.after()) continue;
    removed.push_back(key);
  }
  return KvsItems::Builder()
      .items(std::move(items))
      .removed(std::move(removed))
      .revision(revision_)
      .Build();
}

void VirtualKv::Perform(const std::string& caller, const KvsWatch& call,
                        Answer answer) {
  ++calls_;
  events_.After(kOneWayLatency, [this, caller, call, answer] {
    if (unavailable_ || rejected_callers_.count(caller) > 0) {
      events_.After(kCallTimeout,
                    [=] { answer(MakeAnswer(call.ticket(), Failed(true))); });
      return;
    }
    const std::uint64_t number = ++last_watch_;
    watches_[number] = {call, answer};
    events_.After(call.wait(), [this, number] {
      const auto found = watches_.find(number);
      if (found == watches_.end()) return;
      const PendingWatch waiting = found->second;
      watches_.erase(found);
      waiting.answer_(
          MakeAnswer(waiting.call_.ticket(), Changes(waiting.call_)));
    });
    NotifyWatches();
  });
}

void VirtualKv::NotifyWatches() {
  std::vector<std::uint64_t> due;
  for (const auto& [number, waiting] : watches_) {
    const KvsItems changes = Changes(waiting.call_);
    if (!changes.items().empty() || !changes.removed().empty()) {
      due.push_back(number);
    }
  }
  for (const std::uint64_t number : due) {
    const PendingWatch waiting = watches_.at(number);
    watches_.erase(number);
    const KvsAnswer answer =
        MakeAnswer(waiting.call_.ticket(), Changes(waiting.call_));
    events_.After(kOneWayLatency, [=] { waiting.answer_(answer); });
  }
}

void VirtualKv::Write(const std::string& key,
                      const std::optional<KvsRecord>& record,
                      std::uint64_t lease) {
  items_[key] = {record, revision_, lease};
  removed_.erase(key);
}

void VirtualKv::Remove(const std::string& key) {
  if (items_.erase(key) > 0) removed_[key] = revision_;
}

void VirtualKv::Put(const std::string& key, const KvsRecord& record) {
  if (ValidateRecord(key, record)) return PutUnreadable(key);
  ++revision_;
  Write(key, record, 0);
  NotifyWatches();
}

void VirtualKv::PutUnreadable(const std::string& key) {
  ++revision_;
  Write(key, std::nullopt, 0);
  NotifyWatches();
}

void VirtualKv::Revoke(const std::string& key) {
  ++revision_;
  Remove(key);
  NotifyWatches();
}

const KvsRecord* VirtualKv::Find(const std::string& key) const {
  const auto found = items_.find(key);
  if (found == items_.end() || !found->second.record_) return nullptr;
  return &*found->second.record_;
}

KvsResult VirtualKv::Commit(const KvsCommit& call) {
  for (const KvsPrecondition& expectation : call.expectations()) {
    const auto found = items_.find(expectation.key());
    const std::int64_t revision =
        found == items_.end() ? 0 : found->second.revision_;
    if (revision != expectation.revision()) return KvsConflict();
  }
  for (const KvsPut& put : call.puts()) {
    if (rejected_records_ && rejected_records_(put)) return KvsRejected();
    if (refused_records_ && refused_records_(put)) return Failed(true);
  }
  for (const KvsPut& put : call.puts()) {
    if (put.lease() != 0 && leases_.count(put.lease()) == 0) {
      return KvsLeaseNotFound();
    }
  }
  ++revision_;
  for (const KvsPut& put : call.puts()) {
    Write(put.key(), *put.record(), put.lease());
  }
  for (const std::string& key : call.removals()) Remove(key);
  NotifyWatches();
  return KvsCommitted::Builder().revision(revision_).Build();
}

void VirtualKv::Perform(const std::string& caller, const KvsCommit& call,
                        Answer answer) {
  const bool dropped =
      dropped_records_ &&
      std::any_of(call.puts().begin(), call.puts().end(), dropped_records_);
  if (dropped) {
    ++calls_;
    events_.After(kCallTimeout,
                  [=] { answer(MakeAnswer(call.ticket(), Failed(false))); });
    return;
  }
  const bool lost =
      UniformInt(random_, kMaxPercentDraw) < lost_response_percent_;
  if (!lost || unavailable_ || rejected_callers_.count(caller) > 0) {
    return Serve(caller, call.ticket(), std::move(answer),
                 [this, call] { return Commit(call); });
  }
  ++calls_;
  const bool late = UniformInt(random_, 1) == 1;
  const Duration delay = late ? Duration(UniformInt(random_, kMaxCommitDelayUs))
                              : Duration(kOneWayLatency);
  events_.After(delay, [this, call] { Commit(call); });
  events_.After(kCallTimeout,
                [=] { answer(MakeAnswer(call.ticket(), Failed(false))); });
}

void VirtualKv::ScheduleLeaseExpiry(std::uint64_t lease) {
  events_.At(leases_.at(lease).second, [this, lease] {
    const auto found = leases_.find(lease);
    if (found == leases_.end() || found->second.second > events_.now()) return;
    leases_.erase(found);
    ++revision_;
    std::vector<std::string> expired;
    for (const auto& [key, item] : items_) {
      if (item.lease_ == lease) expired.push_back(key);
    }
    for (const std::string& key : expired) Remove(key);
    NotifyWatches();
  });
}

void VirtualKv::Perform(const std::string& caller, const KvsOpenLease& call,
                        Answer answer) {
  Serve(caller, call.ticket(), std::move(answer), [this, call]() -> KvsResult {
    const std::uint64_t lease = ++last_lease_;
    leases_[lease] = {call.time(), events_.now() + call.time()};
    ScheduleLeaseExpiry(lease);
    return KvsLeaseOpened::Builder().lease(lease).Build();
  });
}

void VirtualKv::Perform(const std::string& caller, const KvsRenewLease& call,
                        Answer answer) {
  Serve(caller, call.ticket(), std::move(answer), [this, call]() -> KvsResult {
    const auto found = leases_.find(call.lease());
    if (found == leases_.end()) return KvsLeaseNotFound();
    found->second.second = events_.now() + found->second.first;
    ScheduleLeaseExpiry(call.lease());
    return KvsLeaseRenewed();
  });
}

void VirtualKv::Perform(const std::string& caller, const KvsEndLease& call,
                        Answer answer) {
  Serve(caller, call.ticket(), std::move(answer), [this, call]() -> KvsResult {
    const auto found = leases_.find(call.lease());
    if (found == leases_.end()) return KvsLeaseNotFound();
    found->second.second = events_.now();
    ScheduleLeaseExpiry(call.lease());
    return KvsLeaseEnded();
  });
}

}  // namespace quetzalline
