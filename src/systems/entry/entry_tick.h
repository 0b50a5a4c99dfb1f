#ifndef QUETZALLINE_SYSTEMS_ENTRY_ENTRY_TICK_H_
#define QUETZALLINE_SYSTEMS_ENTRY_ENTRY_TICK_H_

#include "core/tick.h"
#include "messages/entry_effect.h"

namespace quetzalline {

using EntryTick = Tick<EntryEffect>;

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_ENTRY_TICK_H_
