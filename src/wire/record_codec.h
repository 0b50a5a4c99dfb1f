#ifndef QUETZALLINE_WIRE_RECORD_CODEC_H_
#define QUETZALLINE_WIRE_RECORD_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "records/store_record.h"

namespace quetzalline {

/// Encodes a record as a value of the store. The format is JSON, so that
/// operators can read it with the tools of the platform.
std::string EncodeRecord(const StoreRecord& record);

/// Decodes a value of the store. Returns nothing if it is not a valid record.
std::optional<StoreRecord> DecodeRecord(std::string_view value);

}  // namespace quetzalline

#endif  // QUETZALLINE_WIRE_RECORD_CODEC_H_
