#ifndef QUETZALLINE_TABLES_REGISTERING_KEY_H_
#define QUETZALLINE_TABLES_REGISTERING_KEY_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The request's idempotency key is being registered in the store.
class RegisteringKey {
 public:
  class Builder;

  static constexpr std::string_view kName = "registering-key";

  friend auto operator<=>(const RegisteringKey&,
                          const RegisteringKey&) = default;

 private:
  QUETZALLINE_VALUE(RegisteringKey)
};

/// Builds a RegisteringKey; fields that are not set keep their defaults.
class RegisteringKey::Builder : public ValueBuilder<RegisteringKey, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_REGISTERING_KEY_H_
