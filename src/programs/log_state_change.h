#ifndef QUETZALLINE_PROGRAMS_LOG_STATE_CHANGE_H_
#define QUETZALLINE_PROGRAMS_LOG_STATE_CHANGE_H_

#include "messages/log_change.h"

namespace quetzalline {

/// Writes a state change to the log as one line of key=value fields.
void LogStateChange(const std::string& process, const LogChange& change);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_LOG_STATE_CHANGE_H_
