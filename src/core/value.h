#ifndef QUETZALLINE_CORE_VALUE_H_
#define QUETZALLINE_CORE_VALUE_H_

#include <boost/describe/class.hpp>
#include <utility>

/// Describes the members of an immutable value type, in the order in which they
/// are encoded. New members are appended, so that processes of different
/// releases can decode each other's messages.
#define QUETZALLINE_VALUE(Type, ...) \
  BOOST_DESCRIBE_CLASS(Type, (), (), (), (__VA_ARGS__))

namespace quetzalline {

/// Base class of the builders of value types. A builder starts from default
/// values or from a copy of an existing value.
template <typename Value, typename Derived>
class ValueBuilder {
 public:
  ValueBuilder() = default;
  explicit ValueBuilder(Value base) : value_(std::move(base)) {}

  Value Build() const& { return value_; }
  Value Build() && { return std::move(value_); }

 protected:
  template <typename Field, typename Argument>
  Derived& Set(Field& field, Argument&& argument) {
    field = std::forward<Argument>(argument);
    return static_cast<Derived&>(*this);
  }

  Value value_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_VALUE_H_
