#ifndef QUETZALLINE_MESSAGES_KV_EXPECTATION_H_
#define QUETZALLINE_MESSAGES_KV_EXPECTATION_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// A condition of a commit.
class KvExpectation {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-expectation";

  const std::string& key() const { return key_; }
  /// 0 where the key must not exist.
  std::int64_t revision() const { return revision_; }

  friend auto operator<=>(const KvExpectation&, const KvExpectation&) = default;

 private:
  QUETZALLINE_VALUE(KvExpectation, key_, revision_)

  std::string key_;
  std::int64_t revision_ = 0;
};

/// Builds one KvExpectation; what is not set keeps its default.
class KvExpectation::Builder : public ValueBuilder<KvExpectation, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_EXPECTATION_H_
