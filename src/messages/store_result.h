#ifndef QUETZALLINE_MESSAGES_STORE_RESULT_H_
#define QUETZALLINE_MESSAGES_STORE_RESULT_H_

#include <variant>

#include "messages/store_conflict.h"
#include "messages/store_failed.h"
#include "messages/store_values.h"
#include "messages/store_written.h"

namespace quetzalline {

/// Result of a call to the store.
using StoreResult =
    std::variant<StoreWritten, StoreConflict, StoreFailed, StoreValues>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STORE_RESULT_H_
