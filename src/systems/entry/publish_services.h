#ifndef QUETZALLINE_SYSTEMS_ENTRY_PUBLISH_SERVICES_H_
#define QUETZALLINE_SYSTEMS_ENTRY_PUBLISH_SERVICES_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Starts to publish a service file with a write that takes effect only if the
/// service's revision is still the one that the operator saw.
void StartPublication(std::uint64_t command, const PublishService& publish,
                      EntryTables& tables, EntryTick& tick);

/// Advances publications as store results arrive. After a conflict or a lost
/// result the service is read back, so that a write that did take effect is
/// recognized as the publisher's own.
void PublishServices(const EntryInbox& inbox, EntryTables& tables,
                     EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_PUBLISH_SERVICES_H_
