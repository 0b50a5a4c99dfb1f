#ifndef QUETZALLINE_PROGRAMS_NO_WORKER_H_
#define QUETZALLINE_PROGRAMS_NO_WORKER_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Selects no worker: the instance runs no tasks, or the embedded system
/// provides an in-memory worker.
class NoWorker {
 public:
  class Builder;

  static constexpr std::string_view kName = "no-worker";

  friend auto operator<=>(const NoWorker&, const NoWorker&) = default;

 private:
  QUETZALLINE_VALUE(NoWorker)
};

/// Builds a NoWorker; fields that are not set keep their defaults.
class NoWorker::Builder : public ValueBuilder<NoWorker, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_NO_WORKER_H_
