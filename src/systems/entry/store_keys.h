#ifndef QUETZALLINE_SYSTEMS_ENTRY_STORE_KEYS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_STORE_KEYS_H_

#include <cstdint>
#include <string>

#include "core/ids.h"

namespace quetzalline {

/// Keys and key prefixes of the system's records in the store.
std::string ConfigurationPrefix();
std::string ServiceKey(const ServiceName& service);
std::string KeyBucketKey(std::int32_t bucket);
std::string CellPrefix(const std::string& cell);
std::string LeaseKey(const std::string& cell);
/// Returns the prefix of all records that a new holder of the cell's leader
/// lease reads: the journal and its snapshot.
std::string JournalPrefix(const std::string& cell);
std::string JournalSlotKey(const std::string& cell, std::uint64_t slot);
std::string SnapshotKey(const std::string& cell);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_STORE_KEYS_H_
