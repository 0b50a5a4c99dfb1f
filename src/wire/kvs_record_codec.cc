#include "wire/kvs_record_codec.h"

#include "wire/flex_encoding.h"

namespace quetzalline {

std::string EncodeKvsRecord(const KvsRecord& record) {
  return FlexEncoder::Encode(record);
}

std::optional<KvsRecord> DecodeKvsRecord(std::string_view bytes) {
  return FlexDecoder::Decode<KvsRecord>(bytes);
}

}  // namespace quetzalline
