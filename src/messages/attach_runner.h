#ifndef QUETZALLINE_MESSAGES_ATTACH_RUNNER_H_
#define QUETZALLINE_MESSAGES_ATTACH_RUNNER_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// A holder takes the runner into use. A higher epoch, or a higher session of
/// the same epoch, goes before a lower one.
class AttachRunner {
 public:
  class Builder;

  static constexpr std::string_view kName = "attach-runner";

  std::int64_t epoch() const { return epoch_; }
  std::int64_t session() const { return session_; }

  friend auto operator<=>(const AttachRunner&, const AttachRunner&) = default;

 private:
  QUETZALLINE_VALUE(AttachRunner, epoch_, session_)

  std::int64_t epoch_ = 0;
  std::int64_t session_ = 0;
};

/// Builds one AttachRunner; what is not set keeps its default.
class AttachRunner::Builder : public ValueBuilder<AttachRunner, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
  Builder& session(std::int64_t value) { return Set(value_.session_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ATTACH_RUNNER_H_
