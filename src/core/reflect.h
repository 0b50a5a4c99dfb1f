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

template <typename T>
using MembersOf =
    boost::describe::describe_members<T, boost::describe::mod_private>;

/// An immutable value type whose members are described.
template <typename T>
concept DescribedValue = requires {
  T::kName;
  typename MembersOf<T>;
};

/// An enumeration whose enumerators are described.
template <typename T>
concept DescribedEnum =
    std::is_enum_v<T> && boost::describe::has_describe_enumerators<T>::value;

/// Calls visit(name, member) for each member of a value, in encoding order.
/// The name comes without the trailing underscore.
template <typename T, typename Visit>
void ForEachMember(T& value, Visit&& visit) {
  boost::mp11::mp_for_each<MembersOf<std::remove_const_t<T>>>(
      [&](auto descriptor) {
        std::string_view name = descriptor.name;
        name.remove_suffix(1);
        visit(name, value.*descriptor.pointer);
      });
}

/// Turns an enumerator such as kQueueFull into its published form, queue-full.
inline std::string PublishedName(std::string_view enumerator) {
  std::string name;
  for (const char letter : enumerator.substr(1)) {
    const bool upper = std::isupper(static_cast<unsigned char>(letter)) != 0;
    if (upper && !name.empty()) name += '-';
    name += static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return name;
}

/// The published name of an enumerator; empty for a number without one.
template <DescribedEnum E>
std::string ToString(E value) {
  const char* name = boost::describe::enum_to_string(value, "");
  return *name == '\0' ? std::string() : PublishedName(name);
}

/// The enumerator with this published name, if there is one.
template <DescribedEnum E>
std::optional<E> EnumFromString(std::string_view text) {
  std::optional<E> found;
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<E>>(
      [&](auto descriptor) {
        if (PublishedName(descriptor.name) == text) found = descriptor.value;
      });
  return found;
}

/// Whether a number that came from outside names an enumerator.
template <DescribedEnum E>
bool IsEnumerator(E value) {
  return boost::describe::enum_to_string(value, nullptr) != nullptr;
}

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_REFLECT_H_
