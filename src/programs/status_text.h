#ifndef QUETZALLINE_PROGRAMS_STATUS_TEXT_H_
#define QUETZALLINE_PROGRAMS_STATUS_TEXT_H_

#include <optional>
#include <string>

#include "messages/status_report.h"
#include "programs/operator_client.h"

namespace quetzalline {

/// A status report read from the operators' API, or why there is none.
struct ReadReport {
  std::optional<StatusReport> report_;
  std::string last_reason_;
};

ReadReport ReadStatusReport(const OperatorTarget& target);

/// The report as a person reads it.
std::string StatusText(const StatusReport& report);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_STATUS_TEXT_H_
