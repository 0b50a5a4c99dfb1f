#ifndef QUETZALLINE_CORE_OVERLOADED_H_
#define QUETZALLINE_CORE_OVERLOADED_H_

namespace quetzalline {

/// A visitor made of one callable per alternative of a variant. It has no
/// fallback, so a new alternative does not compile until it is handled.
template <typename... Callables>
struct Overloaded : Callables... {
  using Callables::operator()...;
};

template <typename... Callables>
Overloaded(Callables...) -> Overloaded<Callables...>;

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_OVERLOADED_H_
