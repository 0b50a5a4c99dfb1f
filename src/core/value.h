#ifndef QUETZALLINE_CORE_VALUE_H_
#define QUETZALLINE_CORE_VALUE_H_

#include <boost/describe/class.hpp>
#include <utility>

/// Describes the members of an immutable value type, in the order in which
/// they are encoded. New members go to the end, so that processes of two
/// releases understand each other.
#define QUETZALLINE_VALUE(Type, ...) \
  BOOST_DESCRIBE_CLASS(Type, (), (), (), (__VA_ARGS__))

namespace quetzalline {

/// What the builders of all value types share. A builder starts from nothing
/// or from an existing value, whose copy it changes.
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
