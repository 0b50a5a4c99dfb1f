#ifndef QUETZALLINE_MESSAGES_KV_RESULT_H_
#define QUETZALLINE_MESSAGES_KV_RESULT_H_

#include <variant>

#include "messages/kv_committed.h"
#include "messages/kv_conflict.h"
#include "messages/kv_failed.h"
#include "messages/kv_history_gone.h"
#include "messages/kv_items.h"
#include "messages/kv_lease_ended.h"
#include "messages/kv_lease_gone.h"
#include "messages/kv_lease_opened.h"
#include "messages/kv_lease_renewed.h"

namespace quetzalline {

/// How a call to the store ended.
using KvResult = std::variant<KvItems, KvCommitted, KvConflict, KvLeaseOpened,
                              KvLeaseRenewed, KvLeaseEnded, KvLeaseGone,
                              KvHistoryGone, KvFailed>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_RESULT_H_
