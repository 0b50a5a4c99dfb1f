#ifndef QUETZALLINE_TABLES_CELL_STAGE_H_
#define QUETZALLINE_TABLES_CELL_STAGE_H_

#include <variant>

#include "tables/holding.h"
#include "tables/not_holding.h"
#include "tables/replaying.h"
#include "tables/sealing.h"
#include "tables/taking_lease.h"

namespace quetzalline {

/// Stage of this process in acquiring the cell's leader lease and recovering
/// the journal.
using CellStage =
    std::variant<NotHolding, TakingLease, Replaying, Sealing, Holding>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_CELL_STAGE_H_
