#ifndef QUETZALLINE_TABLES_ENTRY_LINK_H_
#define QUETZALLINE_TABLES_ENTRY_LINK_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A connection to an entry.
class EntryLink {
 public:
  class Builder;

  static constexpr std::string_view kName = "entry-link";

  ConnectionId connection() const { return connection_; }
  /// The entry's name; empty until the entry has replied.
  const EntryId& entry() const { return entry_; }
  std::uint64_t incarnation() const { return incarnation_; }
  /// Epoch under which the entry reported to hold the cell; 0 if it does not
  /// hold it.
  std::uint64_t epoch() const { return epoch_; }
  /// Time of the last heartbeat reply; before the first, time at which the
  /// connection was opened.
  Instant last_heard() const { return last_heard_; }
  Instant next_heartbeat() const { return next_heartbeat_; }
  /// Sequence number of the last heartbeat that was sent on this connection.
  std::uint64_t sent_sequence() const { return sent_sequence_; }
  /// Time at which that heartbeat was sent.
  Instant sent_at() const { return sent_at_; }

  friend auto operator<=>(const EntryLink&, const EntryLink&) = default;

 private:
  QUETZALLINE_VALUE(EntryLink, connection_, entry_, incarnation_, epoch_,
                    last_heard_, next_heartbeat_, sent_sequence_, sent_at_)

  ConnectionId connection_ = ConnectionId{};
  EntryId entry_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t epoch_ = 0;
  Instant last_heard_ = Instant{};
  Instant next_heartbeat_ = Instant{};
  std::uint64_t sent_sequence_ = 0;
  Instant sent_at_ = Instant{};
};

/// Builds an EntryLink; fields that are not set keep their defaults.
class EntryLink::Builder : public ValueBuilder<EntryLink, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
  Builder& entry(EntryId value) { return Set(value_.entry_, std::move(value)); }
  Builder& incarnation(std::uint64_t value) {
    return Set(value_.incarnation_, value);
  }
  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
  Builder& last_heard(Instant value) { return Set(value_.last_heard_, value); }
  Builder& next_heartbeat(Instant value) {
    return Set(value_.next_heartbeat_, value);
  }
  Builder& sent_sequence(std::uint64_t value) {
    return Set(value_.sent_sequence_, value);
  }
  Builder& sent_at(Instant value) { return Set(value_.sent_at_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ENTRY_LINK_H_
