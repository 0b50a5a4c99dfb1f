#ifndef QUETZALLINE_MESSAGES_KV_ANSWER_H_
#define QUETZALLINE_MESSAGES_KV_ANSWER_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "messages/kv_result.h"

namespace quetzalline {

/// The end of a call to the store.
class KvAnswer {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-answer";

  std::uint64_t ticket() const { return ticket_; }
  const KvResult& result() const { return result_; }

  friend auto operator<=>(const KvAnswer&, const KvAnswer&) = default;

 private:
  QUETZALLINE_VALUE(KvAnswer, ticket_, result_)

  std::uint64_t ticket_ = 0;
  KvResult result_;
};

/// Builds one KvAnswer; what is not set keeps its default.
class KvAnswer::Builder : public ValueBuilder<KvAnswer, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& result(KvResult value) {
    return Set(value_.result_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_ANSWER_H_
