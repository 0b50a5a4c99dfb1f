#ifndef QUETZALLINE_MESSAGES_KVS_ANSWER_H_
#define QUETZALLINE_MESSAGES_KVS_ANSWER_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "messages/kvs_result.h"

namespace quetzalline {

/// Result of a call to the key-value store.
class KvsAnswer {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-answer";

  /// Ticket of the call.
  std::uint64_t ticket() const { return ticket_; }
  const KvsResult& result() const { return result_; }

  friend auto operator<=>(const KvsAnswer&, const KvsAnswer&) = default;

 private:
  QUETZALLINE_VALUE(KvsAnswer, ticket_, result_)

  std::uint64_t ticket_ = 0;
  KvsResult result_;
};

/// Builds a KvsAnswer; fields that are not set keep their defaults.
class KvsAnswer::Builder : public ValueBuilder<KvsAnswer, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& result(KvsResult value) {
    return Set(value_.result_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_ANSWER_H_
