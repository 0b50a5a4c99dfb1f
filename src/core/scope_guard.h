#ifndef QUETZALLINE_CORE_SCOPE_GUARD_H_
#define QUETZALLINE_CORE_SCOPE_GUARD_H_

#include <utility>

namespace quetzalline {

/// Runs a clean-up when the scope is left, however it is left.
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
