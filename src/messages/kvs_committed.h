#ifndef QUETZALLINE_MESSAGES_KVS_COMMITTED_H_
#define QUETZALLINE_MESSAGES_KVS_COMMITTED_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The commit was applied.
class KvsCommitted {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-committed";

  /// Store revision of the commit.
  std::int64_t revision() const { return revision_; }

  friend auto operator<=>(const KvsCommitted&, const KvsCommitted&) = default;

 private:
  QUETZALLINE_VALUE(KvsCommitted, revision_)

  std::int64_t revision_ = 0;
};

/// Builds a KvsCommitted; fields that are not set keep their defaults.
class KvsCommitted::Builder : public ValueBuilder<KvsCommitted, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_COMMITTED_H_
