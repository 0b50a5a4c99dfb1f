#ifndef QUETZALLINE_MESSAGES_PROCESS_FINISHED_H_
#define QUETZALLINE_MESSAGES_PROCESS_FINISHED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Nothing is left to do; the process may end.
class ProcessFinished {
 public:
  class Builder;

  static constexpr std::string_view kName = "process-finished";

  friend auto operator<=>(const ProcessFinished&,
                          const ProcessFinished&) = default;

 private:
  QUETZALLINE_VALUE(ProcessFinished)
};

/// Builds one ProcessFinished; what is not set keeps its default.
class ProcessFinished::Builder : public ValueBuilder<ProcessFinished, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_PROCESS_FINISHED_H_
