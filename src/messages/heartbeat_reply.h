#ifndef QUETZALLINE_MESSAGES_HEARTBEAT_REPLY_H_
#define QUETZALLINE_MESSAGES_HEARTBEAT_REPLY_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// An entry's reply to an agent's heartbeat.
class HeartbeatReply {
 public:
  class Builder;

  static constexpr std::string_view kName = "welcome";

  const EntryId& entry() const { return entry_; }
  /// Incarnation of the agent that sent the heartbeat.
  std::uint64_t incarnation() const { return incarnation_; }
  /// Sequence number of the heartbeat.
  std::uint64_t echo() const { return echo_; }
  /// True if the entry accepts no new callers.
  bool leaving() const { return leaving_; }
  /// Epoch of the cell's leader lease if the entry holds it; otherwise zero.
  std::uint64_t epoch() const { return epoch_; }
  /// Time that the agent may keep tasks running, from the sending of the
  /// heartbeat.
  Duration task_lease() const { return task_lease_; }

  friend auto operator<=>(const HeartbeatReply&,
                          const HeartbeatReply&) = default;

 private:
  QUETZALLINE_VALUE(HeartbeatReply, entry_, incarnation_, echo_, leaving_,
                    epoch_, task_lease_)

  EntryId entry_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t echo_ = 0;
  bool leaving_ = false;
  std::uint64_t epoch_ = 0;
  Duration task_lease_ = Duration{};
};

/// Builds a HeartbeatReply; fields that are not set keep their defaults.
class HeartbeatReply::Builder : public ValueBuilder<HeartbeatReply, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& entry(EntryId value) { return Set(value_.entry_, std::move(value)); }
  Builder& incarnation(std::uint64_t value) {
    return Set(value_.incarnation_, value);
  }
  Builder& echo(std::uint64_t value) { return Set(value_.echo_, value); }
  Builder& leaving(bool value) { return Set(value_.leaving_, value); }
  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
  Builder& task_lease(Duration value) { return Set(value_.task_lease_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_HEARTBEAT_REPLY_H_
