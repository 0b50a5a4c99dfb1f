#ifndef QUETZALLINE_CORE_SCOPE_GUARD_H_
#define QUETZALLINE_CORE_SCOPE_GUARD_H_

#include <utility>

namespace quetzalline {

/// Calls a clean-up function when its scope is left, also by an exception.
template <typename CleanUp>
class ScopeGuard {
 public:
  explicit ScopeGuard(CleanUp clean_up) : clean_up_(std::move(clean_up)) {}
  ScopeGuard(const ScopeGuard&) = delete;
  ScopeGuard& operator=(const ScopeGuard&) = delete;
  ~ScopeGuard() { clean_up_(); }

 private:
  CleanUp clean_up_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_SCOPE_GUARD_H_
