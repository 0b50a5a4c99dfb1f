#ifndef QUETZALLINE_TABLES_IMAGE_USE_H_
#define QUETZALLINE_TABLES_IMAGE_USE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace quetzalline {

/// The tasks assigned to a worker, by image.
struct ImageUse {
  /// CPU requested by best-effort tasks, in thousandths of a core.
  std::map<std::string, std::int64_t> filling_;
  /// Number of tasks with a tail target.
  std::map<std::string, std::int32_t> serving_;

  friend auto operator<=>(const ImageUse&, const ImageUse&) = default;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_IMAGE_USE_H_
