#ifndef QUETZALLINE_TABLES_STORE_PURPOSE_H_
#define QUETZALLINE_TABLES_STORE_PURPOSE_H_

#include <variant>

#include "tables/configuration_watch.h"
#include "tables/journal_check.h"
#include "tables/journal_read.h"
#include "tables/journal_write.h"
#include "tables/key_bucket_read.h"
#include "tables/key_bucket_write.h"
#include "tables/lease_read.h"
#include "tables/lease_watch.h"
#include "tables/lease_write.h"
#include "tables/publication_check.h"
#include "tables/publication_write.h"
#include "tables/snapshot_write.h"

namespace quetzalline {

/// Purpose of an unanswered store call.
using StorePurpose =
    std::variant<ConfigurationWatch, PublicationWrite, PublicationCheck,
                 LeaseRead, LeaseWatch, LeaseWrite, JournalRead, JournalWrite,
                 JournalCheck, SnapshotWrite, KeyBucketRead, KeyBucketWrite>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_STORE_PURPOSE_H_
