#ifndef QUETZALLINE_PROGRAMS_STORE_SETTINGS_H_
#define QUETZALLINE_PROGRAMS_STORE_SETTINGS_H_

#include <variant>

#include "programs/consul_settings.h"
#include "programs/no_store.h"

namespace quetzalline {

/// Selects the store of an entry.
using StoreSettings = std::variant<NoStore, ConsulSettings>;

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_STORE_SETTINGS_H_
