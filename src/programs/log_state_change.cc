#include "programs/log_state_change.h"

#include <glog/logging.h>

#include "core/reflect.h"

namespace quetzalline {
void LogStateChange(const std::string& process, const LogChange& change) {
  LOG(INFO) << "event=" << change.event() << " process=" << process
            << " subject=" << change.subject()
            << " reason=" << ToString(change.reason());
}

}  // namespace quetzalline
