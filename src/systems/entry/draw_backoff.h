#ifndef QUETZALLINE_SYSTEMS_ENTRY_DRAW_BACKOFF_H_
#define QUETZALLINE_SYSTEMS_ENTRY_DRAW_BACKOFF_H_

#include "core/tick.h"
#include "tables/entry_policy.h"

namespace quetzalline {

/// The wait before retry number k of a request, counted from 1. Its ceiling
/// doubles with each retry up to a cap; how much of the ceiling is drawn at
/// random is the policy's kind of jitter.
Duration DrawBackoff(const EntryPolicy& policy, std::int32_t retry,
                     Random& random);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_DRAW_BACKOFF_H_
