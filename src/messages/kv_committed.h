#ifndef QUETZALLINE_MESSAGES_KV_COMMITTED_H_
#define QUETZALLINE_MESSAGES_KV_COMMITTED_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The commit was done.
class KvCommitted {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-committed";

  std::int64_t revision() const { return revision_; }

  friend auto operator<=>(const KvCommitted&, const KvCommitted&) = default;

 private:
  QUETZALLINE_VALUE(KvCommitted, revision_)

  std::int64_t revision_ = 0;
};

/// Builds one KvCommitted; what is not set keeps its default.
class KvCommitted::Builder : public ValueBuilder<KvCommitted, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_COMMITTED_H_
