#ifndef QUETZALLINE_SYSTEMS_ENTRY_SEND_MESSAGE_H_
#define QUETZALLINE_SYSTEMS_ENTRY_SEND_MESSAGE_H_

#include <utility>

#include "systems/entry/entry_tick.h"

namespace quetzalline {

/// Sends a message to the agent at the other end of a connection.
inline void SendMessage(ConnectionId connection, EntryMessage message,
                        EntryTick& tick) {
  tick.Emit(SendToAgent::Builder()
                .connection(connection)
                .message(std::move(message))
                .Build());
}

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_SEND_MESSAGE_H_
