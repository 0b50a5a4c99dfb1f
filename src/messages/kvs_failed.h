#ifndef QUETZALLINE_MESSAGES_KVS_FAILED_H_
#define QUETZALLINE_MESSAGES_KVS_FAILED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The store returned no usable answer.
class KvsFailed {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-failed";

  /// True if the call provably changed nothing.
  bool not_done() const { return not_done_; }

  friend auto operator<=>(const KvsFailed&, const KvsFailed&) = default;

 private:
  QUETZALLINE_VALUE(KvsFailed, not_done_)

  bool not_done_ = false;
};

/// Builds a KvsFailed; fields that are not set keep their defaults.
class KvsFailed::Builder : public ValueBuilder<KvsFailed, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& not_done(bool value) { return Set(value_.not_done_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_FAILED_H_
