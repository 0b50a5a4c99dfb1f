#ifndef QUETZALLINE_MESSAGES_SCHEDULER_EFFECT_H_
#define QUETZALLINE_MESSAGES_SCHEDULER_EFFECT_H_

#include <variant>

#include "messages/close_connection.h"
#include "messages/dial_peer.h"
#include "messages/drop_peer.h"
#include "messages/holder_epoch_seen.h"
#include "messages/kvs_commit.h"
#include "messages/kvs_end_lease.h"
#include "messages/kvs_get.h"
#include "messages/kvs_list.h"
#include "messages/kvs_open_lease.h"
#include "messages/kvs_renew_lease.h"
#include "messages/kvs_watch.h"
#include "messages/log_decision.h"
#include "messages/read_wall_clock.h"
#include "messages/send_to_gateway.h"
#include "messages/send_to_runner.h"

namespace quetzalline {

/// All effects that a scheduler node requests from its platform.
using SchedulerEffect =
    std::variant<KvsGet, KvsList, KvsWatch, KvsCommit, KvsOpenLease,
                 KvsRenewLease, KvsEndLease, DialPeer, DropPeer, SendToRunner,
                 SendToGateway, CloseConnection, ReadWallClock, HolderEpochSeen,
                 LogDecision>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_SCHEDULER_EFFECT_H_
