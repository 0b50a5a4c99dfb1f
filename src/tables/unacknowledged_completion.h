#ifndef QUETZALLINE_TABLES_UNACKNOWLEDGED_COMPLETION_H_
#define QUETZALLINE_TABLES_UNACKNOWLEDGED_COMPLETION_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// A completed run whose end is not acknowledged to the worker, since its
/// effect on the job is not stored yet.
class UnacknowledgedCompletion {
 public:
  class Builder;

  static constexpr std::string_view kName = "unnoted-end";

  const MemberName& worker() const { return worker_; }
  /// Start of the worker's incarnation that numbered the end, in Unix
  /// milliseconds.
  std::int64_t born_ms() const { return born_ms_; }
  /// Number of the end in that incarnation.
  std::int64_t number() const { return number_; }
  std::uint64_t job() const { return job_; }

  friend auto operator<=>(const UnacknowledgedCompletion&,
                          const UnacknowledgedCompletion&) = default;

 private:
  QUETZALLINE_VALUE(UnacknowledgedCompletion, worker_, born_ms_, number_, job_)

  MemberName worker_;
  std::int64_t born_ms_ = 0;
  std::int64_t number_ = 0;
  std::uint64_t job_ = 0;
};

/// Builds an UnacknowledgedCompletion; fields that are not set keep their
/// defaults.
class UnacknowledgedCompletion::Builder
    : public ValueBuilder<UnacknowledgedCompletion, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& worker(MemberName value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& born_ms(std::int64_t value) { return Set(value_.born_ms_, value); }
  Builder& number(std::int64_t value) { return Set(value_.number_, value); }
  Builder& job(std::uint64_t value) { return Set(value_.job_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_UNACKNOWLEDGED_COMPLETION_H_
