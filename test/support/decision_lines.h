#ifndef QUETZALLINE_TEST_SUPPORT_DECISION_LINES_H_
#define QUETZALLINE_TEST_SUPPORT_DECISION_LINES_H_

#include <string>
#include <variant>
#include <vector>

#include "messages/log_decision.h"
#include "messages/scheduler_effect.h"

namespace quetzalline {

/// Returns the log lines of this event among the effects.
inline std::vector<LogDecision> LinesOf(
    const std::vector<SchedulerEffect>& effects, const std::string& event) {
  std::vector<LogDecision> lines;
  for (const SchedulerEffect& effect : effects) {
    const auto* line = std::get_if<LogDecision>(&effect);
    if (line != nullptr && line->event() == event) lines.push_back(*line);
  }
  return lines;
}

/// Returns the value of a field; empty if the line has no such field.
inline std::string FieldOf(const LogDecision& line, const std::string& name) {
  for (const LogField& field : line.fields()) {
    if (field.name() == name) return field.value();
  }
  return "";
}

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_DECISION_LINES_H_
