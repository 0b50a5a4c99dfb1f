#ifndef QUETZALLINE_MESSAGES_PROCESS_FINISHED_H_
#define QUETZALLINE_MESSAGES_PROCESS_FINISHED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// All work is complete and the process may exit.
class ProcessFinished {
 public:
  class Builder;

  static constexpr std::string_view kName = "process-finished";

  friend auto operator<=>(const ProcessFinished&,
                          const ProcessFinished&) = default;

 private:
  QUETZALLINE_VALUE(ProcessFinished)
};

/// Builds a ProcessFinished; fields that are not set keep their defaults.
class ProcessFinished::Builder : public ValueBuilder<ProcessFinished, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_PROCESS_FINISHED_H_
