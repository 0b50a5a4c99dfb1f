#ifndef QUETZALLINE_SYSTEMS_RECEIVED_H_
#define QUETZALLINE_SYSTEMS_RECEIVED_H_

#include "core/ids.h"

namespace quetzalline {

/// Holds a message and the connection on which it arrived.
template <typename Message>
struct Received {
  ConnectionId connection_;
  Message message_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RECEIVED_H_
