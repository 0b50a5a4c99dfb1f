#ifndef QUETZALLINE_MESSAGES_SCHEDULER_EFFECT_H_
#define QUETZALLINE_MESSAGES_SCHEDULER_EFFECT_H_

#include <variant>

#include "messages/close_connection.h"
#include "messages/dial_peer.h"
#include "messages/drop_peer.h"
#include "messages/kv_commit.h"
#include "messages/kv_end_lease.h"
#include "messages/kv_get.h"
#include "messages/kv_list.h"
#include "messages/kv_open_lease.h"
#include "messages/kv_renew_lease.h"
#include "messages/kv_watch.h"
#include "messages/log_decision.h"
#include "messages/read_wall_clock.h"
#include "messages/send_to_gateway.h"
#include "messages/send_to_runner.h"

namespace quetzalline {

/// What a scheduler node has done.
using SchedulerEffect =
    std::variant<KvGet, KvList, KvWatch, KvCommit, KvOpenLease, KvRenewLease,
                 KvEndLease, DialPeer, DropPeer, SendToRunner, SendToGateway,
                 CloseConnection, ReadWallClock, LogDecision>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_SCHEDULER_EFFECT_H_
