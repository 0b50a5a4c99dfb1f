#ifndef QUETZALLINE_SYSTEMS_ENTRY_STORE_KEYS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_STORE_KEYS_H_

#include <cstdint>
#include <string>

#include "core/ids.h"

namespace quetzalline {

// Keys and key prefixes of the system's records in the store.

/// Returns the prefix of all published services.
std::string ConfigurationPrefix();
/// Returns the key of a published service.
std::string ServiceKey(const ServiceName& service);
/// Returns the key of a bucket of idempotency keys.
std::string KeyBucketKey(std::int32_t bucket);
/// Returns the prefix of all records of a cell.
std::string CellPrefix(const std::string& cell);
/// Returns the key of a cell's leader lease.
std::string LeaseKey(const std::string& cell);
/// Returns the prefix of all records that a new holder of the cell's leader
/// lease reads: the journal and its snapshot.
std::string JournalPrefix(const std::string& cell);
/// Returns the key of a slot in the ring that stores the journal.
std::string JournalSlotKey(const std::string& cell, std::uint64_t slot);
/// Returns the key of the snapshot of a cell's tasks.
std::string SnapshotKey(const std::string& cell);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_STORE_KEYS_H_
