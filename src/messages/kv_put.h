#ifndef QUETZALLINE_MESSAGES_KV_PUT_H_
#define QUETZALLINE_MESSAGES_KV_PUT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/shared.h"
#include "core/value.h"
#include "records/kv_record.h"

namespace quetzalline {

/// A key that a commit writes.
class KvPut {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-put";

  const std::string& key() const { return key_; }
  const Shared<KvRecord>& record() const { return record_; }
  /// The key goes when this lease ends; 0 where it stays.
  std::uint64_t lease() const { return lease_; }

  friend auto operator<=>(const KvPut&, const KvPut&) = default;

 private:
  QUETZALLINE_VALUE(KvPut, key_, record_, lease_)

  std::string key_;
  Shared<KvRecord> record_;
  std::uint64_t lease_ = 0;
};

/// Builds one KvPut; what is not set keeps its default.
class KvPut::Builder : public ValueBuilder<KvPut, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
  Builder& record(Shared<KvRecord> value) {
    return Set(value_.record_, std::move(value));
  }
  Builder& lease(std::uint64_t value) { return Set(value_.lease_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_PUT_H_
