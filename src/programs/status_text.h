#ifndef QUETZALLINE_PROGRAMS_STATUS_TEXT_H_
#define QUETZALLINE_PROGRAMS_STATUS_TEXT_H_

#include <optional>
#include <string>

#include "messages/status_report.h"
#include "programs/operator_client.h"

namespace quetzalline {

/// Holds a status report, or the reason why it could not be read.
struct StatusResult {
  std::optional<StatusReport> report_;
  std::string error_;
};

/// Reads the status report of an entry from the operators' API.
StatusResult FetchStatusReport(const OperatorTarget& target);

/// Formats a status report as text for operators.
std::string StatusText(const StatusReport& report);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_STATUS_TEXT_H_
