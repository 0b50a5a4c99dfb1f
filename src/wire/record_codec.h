#ifndef QUETZALLINE_WIRE_RECORD_CODEC_H_
#define QUETZALLINE_WIRE_RECORD_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "records/store_record.h"

namespace quetzalline {

/// The value that the store keeps for a record. It is JSON, so that operators
/// can read it with the platform's own tools.
std::string EncodeRecord(const StoreRecord& record);

/// The record in a value; empty where the value is not one of ours.
std::optional<StoreRecord> DecodeRecord(std::string_view value);

}  // namespace quetzalline

#endif  // QUETZALLINE_WIRE_RECORD_CODEC_H_
