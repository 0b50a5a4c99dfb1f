#ifndef QUETZALLINE_TABLES_KVS_PENDING_H_
#define QUETZALLINE_TABLES_KVS_PENDING_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"
#include "tables/kvs_purpose.h"

namespace quetzalline {

/// A store call that has not ended.
class KvsPending {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-pending";

  const KvsPurpose& purpose() const { return purpose_; }
  /// Number of the term in which the call was made; answers of earlier terms
  /// are ignored.
  std::int64_t term() const { return term_; }
  Instant sent_at() const { return sent_at_; }

  friend auto operator<=>(const KvsPending&, const KvsPending&) = default;

 private:
  QUETZALLINE_VALUE(KvsPending, purpose_, term_, sent_at_)

  KvsPurpose purpose_;
  std::int64_t term_ = 0;
  Instant sent_at_ = Instant{};
};

/// Builds a KvsPending; fields that are not set keep their defaults.
class KvsPending::Builder : public ValueBuilder<KvsPending, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& purpose(KvsPurpose value) {
    return Set(value_.purpose_, std::move(value));
  }
  Builder& term(std::int64_t value) { return Set(value_.term_, value); }
  Builder& sent_at(Instant value) { return Set(value_.sent_at_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_KVS_PENDING_H_
