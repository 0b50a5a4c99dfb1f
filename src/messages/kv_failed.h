#ifndef QUETZALLINE_MESSAGES_KV_FAILED_H_
#define QUETZALLINE_MESSAGES_KV_FAILED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// No usable answer.
class KvFailed {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-failed";

  /// Whether the call provably changed nothing.
  bool not_done() const { return not_done_; }

  friend auto operator<=>(const KvFailed&, const KvFailed&) = default;

 private:
  QUETZALLINE_VALUE(KvFailed, not_done_)

  bool not_done_ = false;
};

/// Builds one KvFailed; what is not set keeps its default.
class KvFailed::Builder : public ValueBuilder<KvFailed, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& not_done(bool value) { return Set(value_.not_done_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_FAILED_H_
