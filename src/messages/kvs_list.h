#ifndef QUETZALLINE_MESSAGES_KVS_LIST_H_
#define QUETZALLINE_MESSAGES_KVS_LIST_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// Reads all keys under a prefix.
class KvsList {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-list";

  /// Identifies the call; the KvsAnswer repeats it.
  std::uint64_t ticket() const { return ticket_; }
  const std::string& prefix() const { return prefix_; }

  friend auto operator<=>(const KvsList&, const KvsList&) = default;

 private:
  QUETZALLINE_VALUE(KvsList, ticket_, prefix_)

  std::uint64_t ticket_ = 0;
  std::string prefix_;
};

/// Builds a KvsList; fields that are not set keep their defaults.
class KvsList::Builder : public ValueBuilder<KvsList, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& prefix(std::string value) {
    return Set(value_.prefix_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_LIST_H_
