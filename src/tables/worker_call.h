#ifndef QUETZALLINE_TABLES_WORKER_CALL_H_
#define QUETZALLINE_TABLES_WORKER_CALL_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"
#include "tables/worker_call_kind.h"

namespace quetzalline {

/// A call to the worker that has not ended.
class WorkerCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-call";

  const WorkerCallKind& kind() const { return kind_; }
  /// Fencing token of the call.
  std::int64_t fence() const { return fence_; }
  Instant sent_at() const { return sent_at_; }
  /// True if the call extends the worker's lease.
  bool leased() const { return leased_; }

  friend auto operator<=>(const WorkerCall&, const WorkerCall&) = default;

 private:
  QUETZALLINE_VALUE(WorkerCall, kind_, fence_, sent_at_, leased_)

  WorkerCallKind kind_;
  std::int64_t fence_ = 0;
  Instant sent_at_ = Instant{};
  bool leased_ = false;
};

/// Builds a WorkerCall; fields that are not set keep their defaults.
class WorkerCall::Builder : public ValueBuilder<WorkerCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& kind(WorkerCallKind value) {
    return Set(value_.kind_, std::move(value));
  }
  Builder& fence(std::int64_t value) { return Set(value_.fence_, value); }
  Builder& sent_at(Instant value) { return Set(value_.sent_at_, value); }
  Builder& leased(bool value) { return Set(value_.leased_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_WORKER_CALL_H_
