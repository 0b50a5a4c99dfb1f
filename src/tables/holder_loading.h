#ifndef QUETZALLINE_TABLES_HOLDER_LOADING_H_
#define QUETZALLINE_TABLES_HOLDER_LOADING_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The process holds the cell and is loading the stored state.
class HolderLoading {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-loading";

  /// Time at which failed reads are retried.
  Instant retry_at() const { return retry_at_; }

  friend auto operator<=>(const HolderLoading&, const HolderLoading&) = default;

 private:
  QUETZALLINE_VALUE(HolderLoading, retry_at_)

  Instant retry_at_ = Instant{};
};

/// Builds a HolderLoading; fields that are not set keep their defaults.
class HolderLoading::Builder : public ValueBuilder<HolderLoading, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& retry_at(Instant value) { return Set(value_.retry_at_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLDER_LOADING_H_
