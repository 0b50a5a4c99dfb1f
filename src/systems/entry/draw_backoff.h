#ifndef QUETZALLINE_SYSTEMS_ENTRY_DRAW_BACKOFF_H_
#define QUETZALLINE_SYSTEMS_ENTRY_DRAW_BACKOFF_H_

#include "core/tick.h"
#include "tables/entry_policy.h"

namespace quetzalline {

/// Draws the delay before a retry of a request. Retries are counted from 1. The
/// ceiling of the delay doubles with each retry up to a cap; the policy's
/// jitter determines how much of the ceiling is drawn at random.
Duration DrawBackoff(const EntryPolicy& policy, std::int32_t retry,
                     Random& random);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_DRAW_BACKOFF_H_
