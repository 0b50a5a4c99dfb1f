#include "wire/record_codec.h"

#include "wire/json_encoding.h"

namespace quetzalline {
std::string EncodeRecord(const StoreRecord& record) {
  return boost::json::serialize(JsonEncoder::Encode(record));
}

std::optional<StoreRecord> DecodeRecord(std::string_view value) {
  return JsonDecoder().DecodeText<StoreRecord>(value);
}

}  // namespace quetzalline
