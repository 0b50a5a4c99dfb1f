#ifndef QUETZALLINE_PROGRAMS_LOG_CHANGE_LINE_H_
#define QUETZALLINE_PROGRAMS_LOG_CHANGE_LINE_H_

#include "messages/log_change.h"

namespace quetzalline {

/// Writes a state change to the log as one line of key=value fields.
void WriteLogLine(const std::string& process, const LogChange& change);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_LOG_CHANGE_LINE_H_
