#ifndef QUETZALLINE_TABLES_REGISTRATION_H_
#define QUETZALLINE_TABLES_REGISTRATION_H_

#include <cstdint>

#include "core/time.h"

namespace quetzalline {

/// Whether this process has announced itself in the store, so that holders
/// dial it.
struct Registration {
  bool done_ = false;
  /// The commit under way; 0 where there is none.
  std::uint64_t ticket_ = 0;
  Instant next_try_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_REGISTRATION_H_
