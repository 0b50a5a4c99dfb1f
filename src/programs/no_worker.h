#ifndef QUETZALLINE_PROGRAMS_NO_WORKER_H_
#define QUETZALLINE_PROGRAMS_NO_WORKER_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The instance runs no tasks, or the embedded run brings its own worker.
class NoWorker {
 public:
  class Builder;

  static constexpr std::string_view kName = "no-worker";

  friend auto operator<=>(const NoWorker&, const NoWorker&) = default;

 private:
  QUETZALLINE_VALUE(NoWorker)
};

/// Builds one NoWorker; what is not set keeps its default.
class NoWorker::Builder : public ValueBuilder<NoWorker, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_NO_WORKER_H_
