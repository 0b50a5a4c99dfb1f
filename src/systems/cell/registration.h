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

/// Announces the process, and again after a pause if that failed.
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

/// Takes up the answer to the announcement, if it is one.
template <typename AnyTick>
bool TakeRegistration(std::uint64_t ticket, const KvsResult& result,
                      Registration& registration, AnyTick& tick) {
  // Pause before the announcement is repeated: between once and twice this.
  constexpr Duration kPause = std::chrono::milliseconds(300);
  if (ticket != registration.ticket_) return false;
  registration.ticket_ = 0;
  registration.done_ = std::holds_alternative<KvsCommitted>(result);
  registration.next_try_ =
      tick.now() + kPause + Duration(UniformInt(tick.random(), kPause.count()));
  return true;
}

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_CELL_REGISTRATION_H_
