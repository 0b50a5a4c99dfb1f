#ifndef QUETZALLINE_MESSAGES_KV_GET_H_
#define QUETZALLINE_MESSAGES_KV_GET_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// Reads one key, and what it held last.
class KvGet {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-get";

  std::uint64_t ticket() const { return ticket_; }
  const std::string& key() const { return key_; }

  friend auto operator<=>(const KvGet&, const KvGet&) = default;

 private:
  QUETZALLINE_VALUE(KvGet, ticket_, key_)

  std::uint64_t ticket_ = 0;
  std::string key_;
};

/// Builds one KvGet; what is not set keeps its default.
class KvGet::Builder : public ValueBuilder<KvGet, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_GET_H_
