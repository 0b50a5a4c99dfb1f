#ifndef QUETZALLINE_MESSAGES_KVS_RESULT_H_
#define QUETZALLINE_MESSAGES_KVS_RESULT_H_

#include <variant>

#include "messages/kvs_committed.h"
#include "messages/kvs_conflict.h"
#include "messages/kvs_failed.h"
#include "messages/kvs_history_compacted.h"
#include "messages/kvs_items.h"
#include "messages/kvs_lease_ended.h"
#include "messages/kvs_lease_not_found.h"
#include "messages/kvs_lease_opened.h"
#include "messages/kvs_lease_renewed.h"
#include "messages/kvs_rejected.h"

namespace quetzalline {

/// Result of a call to the key-value store.
using KvsResult =
    std::variant<KvsItems, KvsCommitted, KvsConflict, KvsLeaseOpened,
                 KvsLeaseRenewed, KvsLeaseEnded, KvsLeaseNotFound,
                 KvsHistoryCompacted, KvsFailed, KvsRejected>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_RESULT_H_
