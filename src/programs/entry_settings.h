#ifndef QUETZALLINE_PROGRAMS_ENTRY_SETTINGS_H_
#define QUETZALLINE_PROGRAMS_ENTRY_SETTINGS_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "programs/store_settings.h"
#include "tables/entry_policy.h"

namespace quetzalline {

/// Holds the validated settings of an entry.
class EntrySettings {
 public:
  class Builder;

  static constexpr std::string_view kName = "entry-settings";

  const EntryPolicy& policy() const { return policy_; }
  /// Listen address for callers' requests.
  const std::string& callers() const { return callers_; }
  /// Listen address of the operators' API.
  const std::string& operators() const { return operators_; }
  /// Listen address for agents' connections.
  const std::string& agents() const { return agents_; }
  /// Bearer token that the operators' API requires for changes.
  const std::string& token() const { return token_; }
  const StoreSettings& store() const { return store_; }

  friend auto operator<=>(const EntrySettings&, const EntrySettings&) = default;

 private:
  QUETZALLINE_VALUE(EntrySettings, policy_, callers_, operators_, agents_,
                    token_, store_)

  EntryPolicy policy_;
  std::string callers_;
  std::string operators_;
  std::string agents_;
  std::string token_;
  StoreSettings store_;
};

/// Builds an EntrySettings; fields that are not set keep their defaults.
class EntrySettings::Builder : public ValueBuilder<EntrySettings, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& policy(EntryPolicy value) {
    return Set(value_.policy_, std::move(value));
  }
  Builder& callers(std::string value) {
    return Set(value_.callers_, std::move(value));
  }
  Builder& operators(std::string value) {
    return Set(value_.operators_, std::move(value));
  }
  Builder& agents(std::string value) {
    return Set(value_.agents_, std::move(value));
  }
  Builder& token(std::string value) {
    return Set(value_.token_, std::move(value));
  }
  Builder& store(StoreSettings value) {
    return Set(value_.store_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_ENTRY_SETTINGS_H_
