#ifndef QUETZALLINE_TABLES_LOADING_STORED_STATE_H_
#define QUETZALLINE_TABLES_LOADING_STORED_STATE_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// Loads the stored state at the start of a term.
class LoadingStoredState {
 public:
  class Builder;

  static constexpr std::string_view kName = "loading-kept";

  /// Key prefix that is read.
  const std::string& prefix() const { return prefix_; }

  friend auto operator<=>(const LoadingStoredState&,
                          const LoadingStoredState&) = default;

 private:
  QUETZALLINE_VALUE(LoadingStoredState, prefix_)

  std::string prefix_;
};

/// Builds a LoadingStoredState; fields that are not set keep their defaults.
class LoadingStoredState::Builder
    : public ValueBuilder<LoadingStoredState, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& prefix(std::string value) {
    return Set(value_.prefix_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_LOADING_STORED_STATE_H_
