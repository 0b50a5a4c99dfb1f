#ifndef QUETZALLINE_RECORDS_MEMBER_RECORD_H_
#define QUETZALLINE_RECORDS_MEMBER_RECORD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/member_role.h"
#include "core/value.h"

namespace quetzalline {

/// A member of a cell: a process to which the holder of the cell opens a
/// connection.
class MemberRecord {
 public:
  class Builder;

  static constexpr std::string_view kName = "member-record";

  MemberRole role() const { return role_; }
  /// Address at which the process listens for frames.
  const std::string& address() const { return address_; }
  std::uint64_t incarnation() const { return incarnation_; }

  friend auto operator<=>(const MemberRecord&, const MemberRecord&) = default;

 private:
  QUETZALLINE_VALUE(MemberRecord, role_, address_, incarnation_)

  MemberRole role_ = MemberRole{};
  std::string address_;
  std::uint64_t incarnation_ = 0;
};

/// Builds a MemberRecord; fields that are not set keep their defaults.
class MemberRecord::Builder : public ValueBuilder<MemberRecord, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& role(MemberRole value) { return Set(value_.role_, value); }
  Builder& address(std::string value) {
    return Set(value_.address_, std::move(value));
  }
  Builder& incarnation(std::uint64_t value) {
    return Set(value_.incarnation_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_MEMBER_RECORD_H_
