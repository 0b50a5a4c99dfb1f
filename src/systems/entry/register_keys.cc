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

// The request, if it still waits for its key.
const Request* FindWaiting(const RequestId& id, const RequestTable& requests) {
  const Request* request = requests.Find(id);
  if (request == nullptr) return nullptr;
  const bool waits = std::holds_alternative<RegisteringKey>(request->state());
  return waits ? request : nullptr;
}

Keys Without(const Keys& keys, const std::vector<RequestId>& released) {
  Keys kept;
  for (const RegisteredKey& key : keys) {
    const bool gone = std::find(released.begin(), released.end(),
                                key.request()) != released.end();
    if (!gone) kept.push_back(key);
  }
  return kept;
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

// The oldest keys make room.
void Trim(const EntryPolicy& policy, Keys& keys) {
  const auto most = static_cast<std::size_t>(policy.keys_per_bucket());
  if (keys.size() <= most) return;
  const auto surplus = static_cast<std::ptrdiff_t>(keys.size() - most);
  keys.erase(keys.begin(), keys.begin() + surplus);
}

// Lets requests go on whose keys the durable bucket names.
void SettleWaiting(const KeyBucketRow& row, const Keys& keys,
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
  Trim(tables.policy_, keys);
  const KeyBucket record = KeyBucket::Builder().keys(std::move(keys)).Build();
  tables.key_buckets_.Put(bucket, KeyBucketRow::Builder(row)
                                      .busy(true)
                                      .written(record)
                                      .retry_at(std::nullopt)
                                      .Build());
  WriteStore(KeyBucketKey(bucket), record, row.index(),
             KeyBucketWrite::Builder().bucket(bucket).Build(), tables, tick);
}

// The releases that the keys no longer name are done with.
std::vector<RequestId> StillNamed(const std::vector<RequestId>& releases,
                                  const Keys& keys) {
  std::vector<RequestId> named;
  for (const RequestId& id : releases) {
    const bool found = std::any_of(
        keys.begin(), keys.end(),
        [&](const RegisteredKey& key) { return key.request() == id; });
    if (found) named.push_back(id);
  }
  return named;
}

// Takes the bucket as the store holds it, lets go what it settles, and writes
// what is left to register or to release.
void Advance(std::int32_t bucket, EntryTables& tables, EntryTick& tick) {
  const KeyBucketRow row = tables.key_buckets_.Get(bucket);
  if (!row.known()) return ReadBucket(bucket, row, tables, tick);
  const Keys& known = (*row.known())->keys();
  SettleWaiting(row, known, tables, tick.now());
  const KeyBucketRow rest = KeyBucketRow::Builder(row)
                                .waiting(StillWaiting(row, tables.requests_))
                                .releases(StillNamed(row.releases(), known))
                                .retry_at(std::nullopt)
                                .Build();
  tables.key_buckets_.Put(bucket, rest);
  if (rest.waiting().empty() && rest.releases().empty()) return;
  Keys keys = Without(known, rest.releases());
  AddWaiting(rest, tables.requests_, keys);
  WriteBucket(bucket, rest, std::move(keys), tables, tick);
}

void AfterRead(std::int32_t bucket, const StoreResult& result,
               EntryTables& tables, EntryTick& tick) {
  const KeyBucketRow row = tables.key_buckets_.Get(bucket);
  KeyBucketRow::Builder builder(row);
  builder.busy(false);
  const Overloaded take{
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
  std::visit(take, result);
  tables.key_buckets_.Put(bucket, std::move(builder).Build());
}

// After a conflict or a lost answer the bucket is read back before anything is
// decided; a request that it names may run, whichever write brought it there.
void AfterWrite(std::int32_t bucket, const StoreResult& result,
                EntryTables& tables, EntryTick& tick) {
  const KeyBucketRow row = tables.key_buckets_.Get(bucket);
  KeyBucketRow::Builder builder(row);
  builder.busy(false).written(std::nullopt);
  const Overloaded take{
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
  std::visit(take, result);
  tables.key_buckets_.Put(bucket, std::move(builder).Build());
}

}  // namespace

void RegisterKeys(const EntryInbox& inbox, EntryTables& tables,
                  EntryTick& tick) {
  for (const StoreNews& news : inbox.store_news_) {
    if (const auto* read = std::get_if<KeyBucketRead>(&news.purpose_)) {
      AfterRead(read->bucket(), news.result_, tables, tick);
    }
    if (const auto* write = std::get_if<KeyBucketWrite>(&news.purpose_)) {
      AfterWrite(write->bucket(), news.result_, tables, tick);
    }
  }
  for (const std::int32_t bucket : tables.key_buckets_.Due(tick.now())) {
    Advance(bucket, tables, tick);
  }
  tick.WakeAt(tables.key_buckets_.NextRetry());
  tick.WakeAt(tables.requests_.NextTry());
  tick.WakeAt(tables.requests_.NextDeadline());
}

}  // namespace quetzalline
