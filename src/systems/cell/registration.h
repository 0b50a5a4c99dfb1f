#ifndef QUETZALLINE_SYSTEMS_CELL_REGISTRATION_H_
#define QUETZALLINE_SYSTEMS_CELL_REGISTRATION_H_

#include <cstdint>
#include <string>

#include "core/tick.h"
#include "messages/kvs_commit.h"
#include "messages/kvs_result.h"
#include "records/member_record.h"
#include "systems/cell/cell_keys.h"
#include "tables/registration.h"

namespace quetzalline {

/// Writes the member record of the process to the store, and retries after a
/// delay if that failed.
template <typename AnyTick>
void Register(const MemberName& member, const MemberRecord& record,
              std::uint64_t& last_ticket, Registration& registration,
              AnyTick& tick) {
  if (registration.done_ || registration.ticket_ != 0) return;
  if (tick.now() < registration.next_try_) {
    return tick.WakeAt(registration.next_try_);
  }
  registration.ticket_ = ++last_ticket;
  tick.counters().Add(Counter::kStoreCalls);
  tick.Emit(KvsCommit::Builder()
                .ticket(registration.ticket_)
                .puts({KvsPut::Builder()
                           .key(MemberKey(member))
                           .record(KvsRecord(record))
                           .Build()})
                .Build());
}

/// Handles the store's answer to the write of the member record. Returns false
/// if the ticket belongs to another call.
template <typename AnyTick>
bool HandleRegistrationAnswer(std::uint64_t ticket, const KvsResult& result,
                              Registration& registration, AnyTick& tick) {
  // Minimum delay before a retry; a random delay of up to the same length is
  // added.
  constexpr Duration kMinRetryDelay = std::chrono::milliseconds(300);
  if (ticket != registration.ticket_) return false;
  registration.ticket_ = 0;
  registration.done_ = std::holds_alternative<KvsCommitted>(result);
  registration.next_try_ =
      tick.now() + kMinRetryDelay +
      Duration(UniformInt(tick.random(), kMinRetryDelay.count()));
  return true;
}

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_CELL_REGISTRATION_H_
