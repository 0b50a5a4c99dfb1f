#ifndef QUETZALLINE_TABLES_HOLDER_STAGE_H_
#define QUETZALLINE_TABLES_HOLDER_STAGE_H_

#include <variant>

#include "tables/holder_acting.h"
#include "tables/holder_claiming.h"
#include "tables/holder_following.h"
#include "tables/holder_loading.h"

namespace quetzalline {

/// Role of this process in the cell.
using HolderStage =
    std::variant<HolderFollowing, HolderClaiming, HolderLoading, HolderActing>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLDER_STAGE_H_
