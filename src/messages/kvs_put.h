#ifndef QUETZALLINE_MESSAGES_KVS_PUT_H_
#define QUETZALLINE_MESSAGES_KVS_PUT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/shared.h"
#include "core/value.h"
#include "records/kvs_record.h"

namespace quetzalline {

/// A key that a commit writes.
class KvsPut {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-put";

  const std::string& key() const { return key_; }
  const Shared<KvsRecord>& record() const { return record_; }
  /// The key is deleted when this lease ends; 0 if it is bound to no lease.
  std::uint64_t lease() const { return lease_; }

  friend auto operator<=>(const KvsPut&, const KvsPut&) = default;

 private:
  QUETZALLINE_VALUE(KvsPut, key_, record_, lease_)

  std::string key_;
  Shared<KvsRecord> record_;
  std::uint64_t lease_ = 0;
};

/// Builds a KvsPut; fields that are not set keep their defaults.
class KvsPut::Builder : public ValueBuilder<KvsPut, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
  Builder& record(Shared<KvsRecord> value) {
    return Set(value_.record_, std::move(value));
  }
  Builder& lease(std::uint64_t value) { return Set(value_.lease_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_PUT_H_
