#ifndef QUETZALLINE_SYSTEMS_CELL_LOG_FIELDS_H_
#define QUETZALLINE_SYSTEMS_CELL_LOG_FIELDS_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/reflect.h"
#include "core/time.h"
#include "messages/log_decision.h"

namespace quetzalline {

/// Builds a named value of a log line.
inline LogField Field(std::string_view name, std::string value) {
  return LogField::Builder()
      .name(std::string(name))
      .value(std::move(value))
      .Build();
}
template <std::integral T>
LogField Field(std::string_view name, T value) {
  return Field(name, std::to_string(value));
}
template <DescribedEnum E>
LogField Field(std::string_view name, E value) {
  return Field(name, ToString(value));
}
/// Builds a named duration of a log line, in whole milliseconds.
inline LogField FieldMs(std::string_view name, Duration value) {
  return Field(
      name,
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// Emits a log line; `job` is 0 for an event that concerns no job.
template <typename AnyTick>
void LogLine(AnyTick& tick, std::string_view event, std::uint64_t job,
             std::vector<LogField> fields) {
  tick.Emit(LogDecision::Builder()
                .event(std::string(event))
                .job(job)
                .fields(std::move(fields))
                .Build());
}

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_CELL_LOG_FIELDS_H_
