#ifndef QUETZALLINE_TABLES_IMAGE_USE_H_
#define QUETZALLINE_TABLES_IMAGE_USE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace quetzalline {

/// What the tasks assigned to a worker run, by image.
struct ImageUse {
  /// Thousandths of a core that the tasks that fill ask for.
  std::map<std::string, std::int64_t> filling_;
  /// The number of tasks with a tail target.
  std::map<std::string, std::int32_t> serving_;

  friend auto operator<=>(const ImageUse&, const ImageUse&) = default;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_IMAGE_USE_H_
