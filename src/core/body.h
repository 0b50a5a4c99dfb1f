#ifndef QUETZALLINE_CORE_BODY_H_
#define QUETZALLINE_CORE_BODY_H_

#include <compare>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace quetzalline {

/// Holds the body of a request or a response. Copies share the bytes;
/// comparison is by content.
class Body {
 public:
  Body() = default;
  explicit Body(std::string bytes)
      : bytes_(std::make_shared<const std::string>(std::move(bytes))) {}

  const std::string& bytes() const {
    static const std::string kEmpty;
    return bytes_ ? *bytes_ : kEmpty;
  }
  std::size_t size() const { return bytes().size(); }

  friend std::strong_ordering operator<=>(const Body& a, const Body& b) {
    return a.bytes() <=> b.bytes();
  }
  friend bool operator==(const Body& a, const Body& b) {
    return a.bytes() == b.bytes();
  }

 private:
  std::shared_ptr<const std::string> bytes_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_BODY_H_
