#ifndef QUETZALLINE_TABLES_REGISTRATION_H_
#define QUETZALLINE_TABLES_REGISTRATION_H_

#include <cstdint>

#include "core/time.h"

namespace quetzalline {

/// Registration of this process in the store, where holders find the address to
/// connect to.
struct Registration {
  /// True once the process is registered.
  bool done_ = false;
  /// Ticket of the registering commit in flight; 0 if there is none.
  std::uint64_t ticket_ = 0;
  /// Earliest time of the next attempt.
  Instant next_try_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_REGISTRATION_H_
