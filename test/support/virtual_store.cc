#include "support/virtual_store.h"

#include <utility>

#include "wire/record_codec.h"

namespace quetzalline {
namespace {

constexpr int kPercent = 100;
constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr std::int64_t kMaxEffectDelayUs = 20 * 1000 * 1000;

StoreResult Failed() {
  return StoreFailed::Builder().reason(Reason::kStoreFailed).Build();
}

}  // namespace

void VirtualStore::Answer(std::uint64_t ticket, const StoreResult& result,
                          const OnAnswer& on_answer) {
  events_.After(delay_, [=] {
    on_answer(StoreAnswer::Builder().ticket(ticket).result(result).Build());
  });
}

StoreResult VirtualStore::ReadItems(const std::string& prefix) const {
  std::vector<StoreItem> items;
  for (const StoredValue& value : store_.Read(prefix)) {
    items.push_back(StoreItem::Builder()
                        .key(value.key())
                        .record(*DecodeRecord(value.value()))
                        .index(value.index())
                        .Build());
  }
  return StoreValues::Builder()
      .index(store_.index())
      .items(std::move(items))
      .Build();
}

StoreResult VirtualStore::Apply(const StoreWrite& write) {
  if (rejected_writes_ && rejected_writes_(write)) {
    return StoreFailed::Builder().reason(Reason::kRecordRejected).Build();
  }
  const auto index = store_.Write(write.key(), EncodeRecord(*write.record()),
                                  write.expected());
  if (!index) return StoreConflict();
  NotifyWatches();
  return StoreWritten::Builder().index(*index).Build();
}

void VirtualStore::Perform(const StoreRead& read, const OnAnswer& on_answer) {
  ++calls_;
  events_.After(delay_, [this, read, on_answer] {
    Answer(read.ticket(), down_ ? Failed() : ReadItems(read.prefix()),
           on_answer);
  });
}

void VirtualStore::Perform(const StoreWatch& watch, const OnAnswer& on_answer) {
  ++calls_;
  events_.After(delay_, [this, watch, on_answer] {
    if (down_) return Answer(watch.ticket(), Failed(), on_answer);
    watches_.push_back({watch, on_answer});
    NotifyWatches();
  });
}

void VirtualStore::Perform(const StoreWrite& write, const OnAnswer& on_answer) {
  ++calls_;
  events_.After(delay_, [this, write, on_answer] {
    if (down_) return Answer(write.ticket(), Failed(), on_answer);
    if (UniformInt(random_, kPercent - 1) < lost_percent_) {
      return WriteWithLostResponse(write, on_answer);
    }
    Answer(write.ticket(), Apply(write), on_answer);
  });
}

void VirtualStore::WriteWithLostResponse(const StoreWrite& write,
                                         const OnAnswer& on_answer) {
  events_.After(kCallTimeout, [this, write, on_answer] {
    Answer(write.ticket(), Failed(), on_answer);
  });
  const bool late = UniformInt(random_, 1) == 0;
  if (!late) {
    Apply(write);
    return;
  }
  events_.After(Duration(UniformInt(random_, kMaxEffectDelayUs)),
                [this, write] { Apply(write); });
}

void VirtualStore::SetDown(bool down) {
  down_ = down;
  if (!down_) return;
  for (const PendingWatch& waiting : std::exchange(watches_, {})) {
    Answer(waiting.watch_.ticket(), Failed(), waiting.on_answer_);
  }
}

void VirtualStore::NotifyWatches() {
  for (const PendingWatch& waiting : std::exchange(watches_, {})) {
    const StoreWatch& watch = waiting.watch_;
    if (store_.IndexOf(watch.prefix()) <= watch.after()) {
      watches_.push_back(waiting);
      continue;
    }
    Answer(watch.ticket(), ReadItems(watch.prefix()), waiting.on_answer_);
  }
}

}  // namespace quetzalline
