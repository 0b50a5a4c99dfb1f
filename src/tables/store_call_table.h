#ifndef QUETZALLINE_TABLES_STORE_CALL_TABLE_H_
#define QUETZALLINE_TABLES_STORE_CALL_TABLE_H_

#include <cstdint>

#include "core/table.h"
#include "tables/pending_store_call.h"

namespace quetzalline {

/// The unanswered store calls, by ticket.
using StoreCallTable = Table<std::uint64_t, PendingStoreCall>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_STORE_CALL_TABLE_H_
