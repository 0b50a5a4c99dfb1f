#ifndef QUETZALLINE_TABLES_PENDING_COMMAND_H_
#define QUETZALLINE_TABLES_PENDING_COMMAND_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "messages/command.h"

namespace quetzalline {

/// An operator's command that waits for the store.
class PendingCommand {
 public:
  class Builder;

  static constexpr std::string_view kName = "pending-command";

  std::uint64_t id() const { return id_; }
  const Command& command() const { return command_; }
  /// Revision that a publication replaces.
  std::int64_t expected() const { return expected_; }
  /// Number of attempts so far.
  std::int32_t tries() const { return tries_; }

  friend auto operator<=>(const PendingCommand&,
                          const PendingCommand&) = default;

 private:
  QUETZALLINE_VALUE(PendingCommand, id_, command_, expected_, tries_)

  std::uint64_t id_ = 0;
  Command command_;
  std::int64_t expected_ = 0;
  std::int32_t tries_ = 0;
};

/// Builds a PendingCommand; fields that are not set keep their defaults.
class PendingCommand::Builder : public ValueBuilder<PendingCommand, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& id(std::uint64_t value) { return Set(value_.id_, value); }
  Builder& command(Command value) {
    return Set(value_.command_, std::move(value));
  }
  Builder& expected(std::int64_t value) { return Set(value_.expected_, value); }
  Builder& tries(std::int32_t value) { return Set(value_.tries_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_PENDING_COMMAND_H_
