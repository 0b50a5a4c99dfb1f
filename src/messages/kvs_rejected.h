#ifndef QUETZALLINE_MESSAGES_KVS_REJECTED_H_
#define QUETZALLINE_MESSAGES_KVS_REJECTED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The store refused the content of the call, and would refuse it again;
/// nothing was changed.
class KvsRejected {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-rejected";

  friend auto operator<=>(const KvsRejected&, const KvsRejected&) = default;

 private:
  QUETZALLINE_VALUE(KvsRejected)
};

/// Builds a KvsRejected; fields that are not set keep their defaults.
class KvsRejected::Builder : public ValueBuilder<KvsRejected, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_REJECTED_H_
