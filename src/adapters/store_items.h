#ifndef QUETZALLINE_ADAPTERS_STORE_ITEMS_H_
#define QUETZALLINE_ADAPTERS_STORE_ITEMS_H_

#include <vector>

#include "messages/store_item.h"
#include "standin/stored_value.h"

namespace quetzalline {

/// Decodes stored values to records. Values that are not valid records are
/// logged and omitted.
std::vector<StoreItem> ToStoreItems(const std::vector<StoredValue>& values);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_STORE_ITEMS_H_
