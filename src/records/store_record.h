#ifndef QUETZALLINE_RECORDS_STORE_RECORD_H_
#define QUETZALLINE_RECORDS_STORE_RECORD_H_

#include <variant>

#include "core/published_service.h"
#include "records/cell_lease.h"
#include "records/cell_snapshot.h"
#include "records/journal_entry.h"
#include "records/key_bucket.h"

namespace quetzalline {

/// A record that the entries persist in the store.
using StoreRecord = std::variant<PublishedService, JournalEntry, CellSnapshot,
                                 CellLease, KeyBucket>;

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_STORE_RECORD_H_
