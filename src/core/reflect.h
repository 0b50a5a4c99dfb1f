#ifndef QUETZALLINE_CORE_REFLECT_H_
#define QUETZALLINE_CORE_REFLECT_H_

#include <boost/describe/enum_to_string.hpp>
#include <boost/describe/enumerators.hpp>
#include <boost/describe/members.hpp>
#include <boost/mp11/algorithm.hpp>
#include <cctype>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalline {

/// List of the described members of a value type.
template <typename T>
using MembersOf =
    boost::describe::describe_members<T, boost::describe::mod_private>;

/// An immutable value type whose members are described by Boost.Describe.
template <typename T>
concept DescribedValue = requires {
  T::kName;
  typename MembersOf<T>;
};

/// An enumeration whose enumerators are described by Boost.Describe.
template <typename T>
concept DescribedEnum =
    std::is_enum_v<T> && boost::describe::has_describe_enumerators<T>::value;

/// Calls visit(name, member) for each member of a value, in encoding order. The
/// name is passed without its trailing underscore.
template <typename T, typename Visit>
void ForEachMember(T& value, Visit&& visit) {
  boost::mp11::mp_for_each<MembersOf<std::remove_const_t<T>>>(
      [&](auto descriptor) {
        std::string_view name = descriptor.name;
        name.remove_suffix(1);
        visit(name, value.*descriptor.pointer);
      });
}

/// Converts the name of an enumerator, such as kQueueFull, to the form used in
/// JSON, logs and metrics, such as queue-full.
inline std::string ExternalName(std::string_view enumerator) {
  std::string name;
  for (const char letter : enumerator.substr(1)) {
    const bool upper = std::isupper(static_cast<unsigned char>(letter)) != 0;
    if (upper && !name.empty()) name += '-';
    name += static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return name;
}

/// Returns the external name of an enumerator; empty if no enumerator has this
/// value.
template <DescribedEnum E>
std::string ToString(E value) {
  const char* name = boost::describe::enum_to_string(value, "");
  return *name == '\0' ? std::string() : ExternalName(name);
}

/// Returns the enumerator with this external name, or nullopt if there is none.
template <DescribedEnum E>
std::optional<E> EnumFromString(std::string_view text) {
  std::optional<E> found;
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<E>>(
      [&](auto descriptor) {
        if (ExternalName(descriptor.name) == text) found = descriptor.value;
      });
  return found;
}

/// Returns true if a value, such as one decoded from a message, is that of an
/// enumerator.
template <DescribedEnum E>
bool IsEnumerator(E value) {
  return boost::describe::enum_to_string(value, nullptr) != nullptr;
}

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_REFLECT_H_
