#ifndef QUETZALLINE_MESSAGES_ATTACH_RUNNER_H_
#define QUETZALLINE_MESSAGES_ATTACH_RUNNER_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Opens a session between the holder of the cell's leader lease and a runner.
/// The runner follows the holder with the highest epoch and, within an epoch,
/// the highest session.
class AttachRunner {
 public:
  class Builder;

  static constexpr std::string_view kName = "attach-runner";

  /// Epoch of the holder.
  std::int64_t epoch() const { return epoch_; }
  /// Rises with each connection that the holder opens to a runner.
  std::int64_t session() const { return session_; }

  friend auto operator<=>(const AttachRunner&, const AttachRunner&) = default;

 private:
  QUETZALLINE_VALUE(AttachRunner, epoch_, session_)

  std::int64_t epoch_ = 0;
  std::int64_t session_ = 0;
};

/// Builds an AttachRunner; fields that are not set keep their defaults.
class AttachRunner::Builder : public ValueBuilder<AttachRunner, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
  Builder& session(std::int64_t value) { return Set(value_.session_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ATTACH_RUNNER_H_
