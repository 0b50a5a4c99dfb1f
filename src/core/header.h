#ifndef QUETZALLINE_CORE_HEADER_H_
#define QUETZALLINE_CORE_HEADER_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// An HTTP header field.
class Header {
 public:
  class Builder;

  static constexpr std::string_view kName = "header";

  const std::string& name() const { return name_; }
  const std::string& value() const { return value_; }

  friend auto operator<=>(const Header&, const Header&) = default;

 private:
  QUETZALLINE_VALUE(Header, name_, value_)

  std::string name_;
  std::string value_;
};

/// Builds a Header; fields that are not set keep their defaults.
class Header::Builder : public ValueBuilder<Header, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& name(std::string value) {
    return Set(value_.name_, std::move(value));
  }
  Builder& value(std::string value) {
    return Set(value_.value_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_HEADER_H_
