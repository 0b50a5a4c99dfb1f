#ifndef QUETZALLINE_MESSAGES_KVS_PRECONDITION_H_
#define QUETZALLINE_MESSAGES_KVS_PRECONDITION_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// Precondition of a commit: the revision that a key must have.
class KvsPrecondition {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-expectation";

  const std::string& key() const { return key_; }
  /// Store revision of the key's last change; 0 if the key must not exist.
  std::int64_t revision() const { return revision_; }

  friend auto operator<=>(const KvsPrecondition&,
                          const KvsPrecondition&) = default;

 private:
  QUETZALLINE_VALUE(KvsPrecondition, key_, revision_)

  std::string key_;
  std::int64_t revision_ = 0;
};

/// Builds a KvsPrecondition; fields that are not set keep their defaults.
class KvsPrecondition::Builder : public ValueBuilder<KvsPrecondition, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_PRECONDITION_H_
