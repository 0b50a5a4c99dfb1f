#include "systems/entry/register_keys.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "core/overloaded.h"
#include "systems/entry/call_store.h"
#include "systems/entry/key_buckets.h"
#include "systems/entry/store_keys.h"

namespace quetzalline {
namespace {

using Keys = std::vector<RegisteredKey>;

const RegisteredKey* FindKey(const Keys& keys, const CallerRequest& arrival) {
  const auto found =
      std::find_if(keys.begin(), keys.end(), [&](const RegisteredKey& known) {
        return known.caller() == arrival.caller() &&
               known.key() == arrival.key();
      });
  return found == keys.end() ? nullptr : &*found;
}

// Returns the request if it still waits for the registration of its key, or
// nullptr.
const Request* FindWaiting(const RequestId& id, const RequestTable& requests) {
  const Request* request = requests.Find(id);
  if (request == nullptr) return nullptr;
  const bool is_waiting =
      std::holds_alternative<RegisteringKey>(request->state());
  return is_waiting ? request : nullptr;
}

Keys RemoveReleased(const Keys& keys, const std::vector<RequestId>& released) {
  Keys remaining;
  for (const RegisteredKey& key : keys) {
    const bool is_released = std::find(released.begin(), released.end(),
                                       key.request()) != released.end();
    if (!is_released) remaining.push_back(key);
  }
  return remaining;
}

void AddWaiting(const KeyBucketRow& row, const RequestTable& requests,
                Keys& keys) {
  for (const RequestId& id : row.waiting()) {
    const Request* request = FindWaiting(id, requests);
    if (request == nullptr) continue;
    const CallerRequest& arrival = *request->arrival();
    if (FindKey(keys, arrival) != nullptr) continue;
    keys.push_back(RegisteredKey::Builder()
                       .caller(arrival.caller())
                       .key(arrival.key())
                       .request(id)
                       .endpoint(request->key_endpoint())
                       .Build());
  }
}

// Removes the oldest keys above the limit of a bucket.
void TrimOldest(const EntryPolicy& policy, Keys& keys) {
  const auto max_keys = static_cast<std::size_t>(policy.keys_per_bucket());
  if (keys.size() <= max_keys) return;
  const auto surplus = static_cast<std::ptrdiff_t>(keys.size() - max_keys);
  keys.erase(keys.begin(), keys.begin() + surplus);
}

// Resumes the waiting requests whose keys are in the durable bucket.
void ResumeRegistered(const KeyBucketRow& row, const Keys& keys,
                      EntryTables& tables, Instant now) {
  for (const RequestId& id : row.waiting()) {
    const Request* request = FindWaiting(id, tables.requests_);
    if (request == nullptr) continue;
    const RegisteredKey* key = FindKey(keys, *request->arrival());
    if (key == nullptr) continue;
    tables.requests_.Put(
        Request::Builder(*request)
            .registered(true)
            .repeated(key->request() != id)
            .key_endpoint(key->endpoint())
            .state(AwaitingAttempt::Builder().not_before(now).Build())
            .Build());
  }
}

std::vector<RequestId> StillWaiting(const KeyBucketRow& row,
                                    const RequestTable& requests) {
  std::vector<RequestId> waiting;
  for (const RequestId& id : row.waiting()) {
    if (FindWaiting(id, requests) != nullptr) waiting.push_back(id);
  }
  return waiting;
}

void ReadBucket(std::int32_t bucket, const KeyBucketRow& row,
                EntryTables& tables, EntryTick& tick) {
  tables.key_buckets_.Put(
      bucket,
      KeyBucketRow::Builder(row).busy(true).retry_at(std::nullopt).Build());
  ReadStore(KeyBucketKey(bucket),
            KeyBucketRead::Builder().bucket(bucket).Build(), tables, tick);
}

void WriteBucket(std::int32_t bucket, const KeyBucketRow& row, Keys keys,
                 EntryTables& tables, EntryTick& tick) {
  TrimOldest(tables.policy_, keys);
  const KeyBucket record = KeyBucket::Builder().keys(std::move(keys)).Build();
  tables.key_buckets_.Put(bucket, KeyBucketRow::Builder(row)
                                      .busy(true)
                                      .written(record)
                                      .retry_at(std::nullopt)
                                      .Build());
  WriteStore(KeyBucketKey(bucket), record, row.index(),
             KeyBucketWrite::Builder().bucket(bucket).Build(), tables, tick);
}

// Returns the releases whose keys are still in the bucket. The others are
// complete.
std::vector<RequestId> PendingReleases(const std::vector<RequestId>& releases,
                                       const Keys& keys) {
  std::vector<RequestId> pending;
  for (const RequestId& id : releases) {
    const bool found = std::any_of(
        keys.begin(), keys.end(),
        [&](const RegisteredKey& key) { return key.request() == id; });
    if (found) pending.push_back(id);
  }
  return pending;
}

// Resumes the requests whose keys the stored bucket contains, and writes the
// keys that remain to be registered or released. A bucket whose stored state is
// unknown is read first.
void AdvanceBucket(std::int32_t bucket, EntryTables& tables, EntryTick& tick) {
  const KeyBucketRow row = tables.key_buckets_.Get(bucket);
  if (!row.known()) return ReadBucket(bucket, row, tables, tick);
  const Keys& known = (*row.known())->keys();
  ResumeRegistered(row, known, tables, tick.now());
  const KeyBucketRow remaining =
      KeyBucketRow::Builder(row)
          .waiting(StillWaiting(row, tables.requests_))
          .releases(PendingReleases(row.releases(), known))
          .retry_at(std::nullopt)
          .Build();
  tables.key_buckets_.Put(bucket, remaining);
  if (remaining.waiting().empty() && remaining.releases().empty()) return;
  Keys keys = RemoveReleased(known, remaining.releases());
  AddWaiting(remaining, tables.requests_, keys);
  WriteBucket(bucket, remaining, std::move(keys), tables, tick);
}

void HandleReadResult(std::int32_t bucket, const StoreResult& result,
                      EntryTables& tables, EntryTick& tick) {
  const KeyBucketRow row = tables.key_buckets_.Get(bucket);
  KeyBucketRow::Builder builder(row);
  builder.busy(false);
  const Overloaded handle{
      [&](const StoreValues& values) {
        builder.known(KeyBucket()).index(0);
        for (const StoreItem& item : values.items()) {
          const auto* found = std::get_if<KeyBucket>(&*item.record());
          if (found != nullptr) builder.known(*found).index(item.index());
        }
      },
      [&](const StoreFailed&) {
        tick.counters().Add(Counter::kStoreFailures);
        builder.retry_at(tick.now() + tables.policy_.store_retry());
      },
      [](const StoreWritten&) {},
      [](const StoreConflict&) {},
  };
  std::visit(handle, result);
  tables.key_buckets_.Put(bucket, std::move(builder).Build());
}

// After a conflict or a lost result the bucket is read back before anything is
// decided. A request that the bucket names may run, no matter which write
// registered it.
void HandleWriteResult(std::int32_t bucket, const StoreResult& result,
                       EntryTables& tables, EntryTick& tick) {
  const KeyBucketRow row = tables.key_buckets_.Get(bucket);
  KeyBucketRow::Builder builder(row);
  builder.busy(false).written(std::nullopt);
  const Overloaded handle{
      [&](const StoreWritten& written) {
        builder.known(row.written()).index(written.index());
      },
      [&](const StoreConflict&) { builder.known(std::nullopt); },
      [&](const StoreFailed&) {
        tick.counters().Add(Counter::kStoreFailures);
        builder.known(std::nullopt)
            .retry_at(tick.now() + tables.policy_.store_retry());
      },
      [](const StoreValues&) {},
  };
  std::visit(handle, result);
  tables.key_buckets_.Put(bucket, std::move(builder).Build());
}

}  // namespace

void RegisterKeys(const EntryInbox& inbox, EntryTables& tables,
                  EntryTick& tick) {
  for (const CompletedStoreCall& call : inbox.completed_store_calls_) {
    if (const auto* read = std::get_if<KeyBucketRead>(&call.purpose_)) {
      HandleReadResult(read->bucket(), call.result_, tables, tick);
    }
    if (const auto* write = std::get_if<KeyBucketWrite>(&call.purpose_)) {
      HandleWriteResult(write->bucket(), call.result_, tables, tick);
    }
  }
  for (const std::int32_t bucket : tables.key_buckets_.Due(tick.now())) {
    AdvanceBucket(bucket, tables, tick);
  }
  tick.WakeAt(tables.key_buckets_.NextRetry());
  tick.WakeAt(tables.requests_.NextTry());
  tick.WakeAt(tables.requests_.NextDeadline());
}

}  // namespace quetzalline
