#ifndef QUETZALLINE_CORE_SHARED_H_
#define QUETZALLINE_CORE_SHARED_H_

#include <memory>
#include <utility>

namespace quetzalline {

/// An immutable value that is shared by its copies, so that a row can be
/// replaced without a copy of its unchanged parts. Comparison is by content.
template <typename T>
class Shared {
 public:
  Shared() : value_(Default()) {}
  Shared(T value)  // NOLINT(google-explicit-constructor): stands in for T.
      : value_(std::make_shared<const T>(std::move(value))) {}

  const T& operator*() const { return *value_; }
  const T* operator->() const { return value_.get(); }

  friend auto operator<=>(const Shared& a, const Shared& b) {
    return *a <=> *b;
  }
  friend bool operator==(const Shared& a, const Shared& b) {
    return a.value_ == b.value_ || *a == *b;
  }

 private:
  static const std::shared_ptr<const T>& Default() {
    static const std::shared_ptr<const T> kDefault =
        std::make_shared<const T>();
    return kDefault;
  }

  std::shared_ptr<const T> value_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_SHARED_H_
