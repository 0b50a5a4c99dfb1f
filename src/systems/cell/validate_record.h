#ifndef QUETZALLINE_SYSTEMS_CELL_VALIDATE_RECORD_H_
#define QUETZALLINE_SYSTEMS_CELL_VALIDATE_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include "records/kvs_record.h"

namespace quetzalline {

/// Validates a record that the store returned for a key: the key must be one
/// under which such records are written, and the content must be such that
/// the scheduler can act on it. Returns the error as text; empty for a valid
/// record.
std::optional<std::string> ValidateRecord(std::string_view key,
                                          const KvsRecord& record);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_CELL_VALIDATE_RECORD_H_
