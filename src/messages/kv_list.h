#ifndef QUETZALLINE_MESSAGES_KV_LIST_H_
#define QUETZALLINE_MESSAGES_KV_LIST_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// Reads every key under a prefix.
class KvList {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-list";

  std::uint64_t ticket() const { return ticket_; }
  const std::string& prefix() const { return prefix_; }

  friend auto operator<=>(const KvList&, const KvList&) = default;

 private:
  QUETZALLINE_VALUE(KvList, ticket_, prefix_)

  std::uint64_t ticket_ = 0;
  std::string prefix_;
};

/// Builds one KvList; what is not set keeps its default.
class KvList::Builder : public ValueBuilder<KvList, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& prefix(std::string value) {
    return Set(value_.prefix_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_LIST_H_
