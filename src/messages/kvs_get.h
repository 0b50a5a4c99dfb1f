#ifndef QUETZALLINE_MESSAGES_KVS_GET_H_
#define QUETZALLINE_MESSAGES_KVS_GET_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// Reads one key and its current value.
class KvsGet {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-get";

  /// Identifies the call; the KvsAnswer repeats it.
  std::uint64_t ticket() const { return ticket_; }
  const std::string& key() const { return key_; }

  friend auto operator<=>(const KvsGet&, const KvsGet&) = default;

 private:
  QUETZALLINE_VALUE(KvsGet, ticket_, key_)

  std::uint64_t ticket_ = 0;
  std::string key_;
};

/// Builds a KvsGet; fields that are not set keep their defaults.
class KvsGet::Builder : public ValueBuilder<KvsGet, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_GET_H_
