#include "wire/kv_record_codec.h"

#include "wire/flex_encoding.h"

namespace quetzalline {

std::string EncodeKvRecord(const KvRecord& record) {
  return FlexEncoder::Encode(record);
}

std::optional<KvRecord> DecodeKvRecord(std::string_view bytes) {
  return FlexDecoder::Decode<KvRecord>(bytes);
}

}  // namespace quetzalline
