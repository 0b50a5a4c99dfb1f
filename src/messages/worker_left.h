#ifndef QUETZALLINE_MESSAGES_WORKER_LEFT_H_
#define QUETZALLINE_MESSAGES_WORKER_LEFT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// The worker announced its shutdown.
class WorkerLeft {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-left";

  const std::string& worker() const { return worker_; }
  /// Incarnation that shuts down: its start time in Unix milliseconds; 0 if the
  /// announcement names none.
  std::int64_t born_ms() const { return born_ms_; }

  friend auto operator<=>(const WorkerLeft&, const WorkerLeft&) = default;

 private:
  QUETZALLINE_VALUE(WorkerLeft, worker_, born_ms_)

  std::string worker_;
  std::int64_t born_ms_ = 0;
};

/// Builds a WorkerLeft; fields that are not set keep their defaults.
class WorkerLeft::Builder : public ValueBuilder<WorkerLeft, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& worker(std::string value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& born_ms(std::int64_t value) { return Set(value_.born_ms_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_LEFT_H_
