#ifndef QUETZALLINE_TABLES_KVS_PURPOSE_H_
#define QUETZALLINE_TABLES_KVS_PURPOSE_H_

#include <variant>

#include "tables/claiming_cell.h"
#include "tables/committing_batch.h"
#include "tables/confirming_commit.h"
#include "tables/confirming_epoch.h"
#include "tables/ending_holder_lease.h"
#include "tables/listing_members.h"
#include "tables/loading_stored_state.h"
#include "tables/observing_handovers.h"
#include "tables/opening_holder_lease.h"
#include "tables/probing_job.h"
#include "tables/reading_configuration.h"
#include "tables/reading_epoch.h"
#include "tables/reading_holder.h"
#include "tables/renewing_holder_lease.h"
#include "tables/watching_configuration.h"
#include "tables/watching_holder.h"
#include "tables/watching_members.h"

namespace quetzalline {

/// Purpose of a store call.
using KvsPurpose =
    std::variant<ReadingHolder, WatchingHolder, ReadingEpoch,
                 OpeningHolderLease, ClaimingCell, RenewingHolderLease,
                 EndingHolderLease, LoadingStoredState, ListingMembers,
                 WatchingMembers, ReadingConfiguration, WatchingConfiguration,
                 CommittingBatch, ConfirmingCommit, ConfirmingEpoch, ProbingJob,
                 ObservingHandovers>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_KVS_PURPOSE_H_
