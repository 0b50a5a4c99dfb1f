#include "programs/log_change_line.h"

#include <glog/logging.h>

#include "core/reflect.h"

namespace quetzalline {
void WriteLogLine(const std::string& process, const LogChange& change) {
  LOG(INFO) << "event=" << change.event() << " process=" << process
            << " subject=" << change.subject()
            << " reason=" << ToString(change.reason());
}

}  // namespace quetzalline
