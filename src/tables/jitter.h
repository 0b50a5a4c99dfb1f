#ifndef QUETZALLINE_TABLES_JITTER_H_
#define QUETZALLINE_TABLES_JITTER_H_

#include <variant>

#include "tables/full_jitter.h"
#include "tables/half_jitter.h"
#include "tables/no_jitter.h"

namespace quetzalline {

/// Random part of the backoff before a retry.
using Jitter = std::variant<FullJitter, HalfJitter, NoJitter>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_JITTER_H_
