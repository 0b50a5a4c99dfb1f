#ifndef QUETZALLINE_TABLES_HOLDER_SESSION_H_
#define QUETZALLINE_TABLES_HOLDER_SESSION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// The session with the holder that a runner follows.
class HolderSession {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-session";

  /// Connection to the holder; empty while it is lost.
  const std::optional<ConnectionId>& connection() const { return connection_; }
  std::int64_t epoch() const { return epoch_; }
  /// Number of the session; the holder assigns one for each connection.
  std::int64_t session() const { return session_; }
  /// Returns true once the worker has listed its runs under this session's
  /// fencing token.
  bool synced() const { return synced_; }

  friend auto operator<=>(const HolderSession&, const HolderSession&) = default;

 private:
  QUETZALLINE_VALUE(HolderSession, connection_, epoch_, session_, synced_)

  std::optional<ConnectionId> connection_;
  std::int64_t epoch_ = 0;
  std::int64_t session_ = 0;
  bool synced_ = false;
};

/// Builds a HolderSession; fields that are not set keep their defaults.
class HolderSession::Builder : public ValueBuilder<HolderSession, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& connection(std::optional<ConnectionId> value) {
    return Set(value_.connection_, std::move(value));
  }
  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
  Builder& session(std::int64_t value) { return Set(value_.session_, value); }
  Builder& synced(bool value) { return Set(value_.synced_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLDER_SESSION_H_
