#ifndef QUETZALLINE_TABLES_MEMBER_ROW_H_
#define QUETZALLINE_TABLES_MEMBER_ROW_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "core/value.h"
#include "records/member_record.h"

namespace quetzalline {

/// A process of the system that the holder connects to.
class MemberRow {
 public:
  class Builder;

  static constexpr std::string_view kName = "member-row";

  const MemberRecord& record() const { return record_; }
  /// Connection to the process; empty while there is none.
  const std::optional<ConnectionId>& connection() const { return connection_; }
  /// Number of the session on that connection.
  std::int64_t session() const { return session_; }
  /// Returns true once the process has answered in this session, which shows
  /// that it follows this holder.
  bool answered() const { return answered_; }
  /// Time of the last message from the process.
  Instant heard_at() const { return heard_at_; }
  /// The same by the clock of this holder's attention.
  Instant heard_attention() const { return heard_attention_; }
  /// Attention time since which an answer of the process is awaited: that at
  /// which the connection was opened or lost for the first time since the last
  /// answer.
  Instant changed_attention() const { return changed_attention_; }

  friend auto operator<=>(const MemberRow&, const MemberRow&) = default;

 private:
  QUETZALLINE_VALUE(MemberRow, record_, connection_, session_, heard_at_,
                    answered_, heard_attention_, changed_attention_)

  MemberRecord record_;
  std::optional<ConnectionId> connection_;
  std::int64_t session_ = 0;
  Instant heard_at_ = Instant{};
  bool answered_ = false;
  Instant heard_attention_ = Instant{};
  Instant changed_attention_ = Instant{};
};

/// Builds a MemberRow; fields that are not set keep their defaults.
class MemberRow::Builder : public ValueBuilder<MemberRow, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& record(MemberRecord value) {
    return Set(value_.record_, std::move(value));
  }
  Builder& connection(std::optional<ConnectionId> value) {
    return Set(value_.connection_, std::move(value));
  }
  Builder& session(std::int64_t value) { return Set(value_.session_, value); }
  Builder& heard_at(Instant value) { return Set(value_.heard_at_, value); }
  Builder& heard_attention(Instant value) {
    return Set(value_.heard_attention_, value);
  }
  Builder& changed_attention(Instant value) {
    return Set(value_.changed_attention_, value);
  }
  Builder& answered(bool value) { return Set(value_.answered_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_MEMBER_ROW_H_
