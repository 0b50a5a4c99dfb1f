#ifndef QUETZALLINE_WIRE_KVS_RECORD_CODEC_H_
#define QUETZALLINE_WIRE_KVS_RECORD_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "records/kvs_record.h"

namespace quetzalline {

/// The bytes that the store holds for a record.
std::string EncodeKvsRecord(const KvsRecord& record);

/// The record in such bytes; empty where they are malformed.
std::optional<KvsRecord> DecodeKvsRecord(std::string_view bytes);

}  // namespace quetzalline

#endif  // QUETZALLINE_WIRE_KVS_RECORD_CODEC_H_
