#ifndef QUETZALLINE_TABLES_CHECKING_KEY_H_
#define QUETZALLINE_TABLES_CHECKING_KEY_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A second agent is asked to remember the idempotency key first.
class CheckingKey {
 public:
  class Builder;

  static constexpr std::string_view kName = "checking-key";

  const EndpointId& witness() const { return witness_; }
  Instant asked() const { return asked_; }

  friend auto operator<=>(const CheckingKey&, const CheckingKey&) = default;

 private:
  QUETZALLINE_VALUE(CheckingKey, witness_, asked_)

  EndpointId witness_;
  Instant asked_ = Instant{};
};

/// Builds one CheckingKey; what is not set keeps its default.
class CheckingKey::Builder : public ValueBuilder<CheckingKey, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& witness(EndpointId value) {
    return Set(value_.witness_, std::move(value));
  }
  Builder& asked(Instant value) { return Set(value_.asked_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_CHECKING_KEY_H_
