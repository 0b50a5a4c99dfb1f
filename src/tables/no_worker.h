#ifndef QUETZALLINE_TABLES_NO_WORKER_H_
#define QUETZALLINE_TABLES_NO_WORKER_H_

#include <compare>
#include <string_view>

#include "core/step_key.h"
#include "core/value.h"

namespace quetzalline {

/// A step's tasks are ready, and no worker takes one of them.
class NoWorker {
 public:
  class Builder;

  static constexpr std::string_view kName = "no-worker";

  const StepKey& step() const { return step_; }

  friend auto operator<=>(const NoWorker&, const NoWorker&) = default;

 private:
  QUETZALLINE_VALUE(NoWorker, step_)

  StepKey step_;
};

/// Builds a NoWorker; fields that are not set keep their defaults.
class NoWorker::Builder : public ValueBuilder<NoWorker, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& step(const StepKey& value) { return Set(value_.step_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_NO_WORKER_H_
