#ifndef QUETZALLINE_TABLES_REQUEST_STATE_H_
#define QUETZALLINE_TABLES_REQUEST_STATE_H_

#include <variant>

#include "tables/registering_key.h"
#include "tables/to_try.h"
#include "tables/trying.h"

namespace quetzalline {

/// State of a request at the entry.
using RequestState = std::variant<ToTry, RegisteringKey, Trying>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_REQUEST_STATE_H_
