#include "adapters/store_items.h"

#include <glog/logging.h>

#include "wire/record_codec.h"

namespace quetzalline {
std::vector<StoreItem> ToStoreItems(const std::vector<StoredValue>& values) {
  std::vector<StoreItem> items;
  for (const StoredValue& value : values) {
    const std::optional<StoreRecord> record = DecodeRecord(value.value());
    if (!record) {
      LOG(ERROR) << "event=unreadable-record key=" << value.key();
      continue;
    }
    items.push_back(StoreItem::Builder()
                        .key(value.key())
                        .record(*record)
                        .index(value.index())
                        .Build());
  }
  return items;
}

}  // namespace quetzalline
