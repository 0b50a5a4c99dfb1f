#include "adapters/local_store.h"

#include "adapters/store_items.h"
#include "wire/record_codec.h"

namespace quetzalline {
namespace {

StoreAnswer MakeAnswer(std::uint64_t ticket, const StoreResult& result) {
  return StoreAnswer::Builder().ticket(ticket).result(result).Build();
}

}  // namespace

SharedStore::OnValues LocalStore::MakeValuesCallback(
    std::uint64_t ticket) const {
  return [on_answer = on_answer_, ticket](
             std::int64_t index, const std::vector<StoredValue>& values) {
    on_answer(MakeAnswer(ticket, StoreValues::Builder()
                                     .index(index)
                                     .items(ToStoreItems(values))
                                     .Build()));
  };
}

SharedStore::OnFailed LocalStore::MakeFailureCallback(
    std::uint64_t ticket) const {
  return [on_answer = on_answer_, ticket] {
    on_answer(MakeAnswer(
        ticket, StoreFailed::Builder().reason(Reason::kStoreFailed).Build()));
  };
}

void LocalStore::Perform(const StoreRead& read) {
  store_->Read(read.prefix(), MakeValuesCallback(read.ticket()),
               MakeFailureCallback(read.ticket()));
}

void LocalStore::Perform(const StoreWatch& watch) {
  store_->Watch(watch.prefix(), watch.after(),
                MakeValuesCallback(watch.ticket()),
                MakeFailureCallback(watch.ticket()));
}

void LocalStore::Perform(const StoreWrite& write) {
  const std::uint64_t ticket = write.ticket();
  const auto written = [on_answer = on_answer_,
                        ticket](std::optional<std::int64_t> index) {
    if (!index) return on_answer(MakeAnswer(ticket, StoreConflict()));
    on_answer(
        MakeAnswer(ticket, StoreWritten::Builder().index(*index).Build()));
  };
  store_->Write(write.key(), EncodeRecord(*write.record()), write.expected(),
                written, MakeFailureCallback(ticket));
}

}  // namespace quetzalline
