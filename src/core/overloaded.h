#ifndef QUETZALLINE_CORE_OVERLOADED_H_
#define QUETZALLINE_CORE_OVERLOADED_H_

namespace quetzalline {

/// A variant visitor that combines one callable for each alternative. Without a
/// generic callable as a fallback, a new alternative does not compile until it
/// is handled.
template <typename... Callables>
struct Overloaded : Callables... {
  using Callables::operator()...;
};

template <typename... Callables>
Overloaded(Callables...) -> Overloaded<Callables...>;

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_OVERLOADED_H_
