#ifndef QUETZALLINE_WIRE_KV_RECORD_CODEC_H_
#define QUETZALLINE_WIRE_KV_RECORD_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "records/kv_record.h"

namespace quetzalline {

/// The bytes that the store holds for a record.
std::string EncodeKvRecord(const KvRecord& record);

/// The record in such bytes; empty where they are malformed.
std::optional<KvRecord> DecodeKvRecord(std::string_view bytes);

}  // namespace quetzalline

#endif  // QUETZALLINE_WIRE_KV_RECORD_CODEC_H_
