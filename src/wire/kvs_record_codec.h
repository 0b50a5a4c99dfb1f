#ifndef QUETZALLINE_WIRE_KVS_RECORD_CODEC_H_
#define QUETZALLINE_WIRE_KVS_RECORD_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "records/kvs_record.h"

namespace quetzalline {

/// Returns the bytes that the key-value store holds for a record.
std::string EncodeKvsRecord(const KvsRecord& record);

/// Decodes a record. Returns nothing if the bytes are malformed.
std::optional<KvsRecord> DecodeKvsRecord(std::string_view bytes);

}  // namespace quetzalline

#endif  // QUETZALLINE_WIRE_KVS_RECORD_CODEC_H_
