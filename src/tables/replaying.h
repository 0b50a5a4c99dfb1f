#ifndef QUETZALLINE_TABLES_REPLAYING_H_
#define QUETZALLINE_TABLES_REPLAYING_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The lease is acquired and the journal is being read.
class Replaying {
 public:
  class Builder;

  static constexpr std::string_view kName = "replaying";

  friend auto operator<=>(const Replaying&, const Replaying&) = default;

 private:
  QUETZALLINE_VALUE(Replaying)
};

/// Builds a Replaying; fields that are not set keep their defaults.
class Replaying::Builder : public ValueBuilder<Replaying, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_REPLAYING_H_
