#ifndef QUETZALLINE_TABLES_MEMBER_RECORD_UNIT_H_
#define QUETZALLINE_TABLES_MEMBER_RECORD_UNIT_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// The records of one worker in a commit: whether it is confirmed lost, and
/// what is left of it to the next holder.
class MemberRecordUnit {
 public:
  class Builder;

  static constexpr std::string_view kName = "member-record-unit";

  /// The member beside the worker.
  const MemberName& member() const { return member_; }

  friend auto operator<=>(const MemberRecordUnit&,
                          const MemberRecordUnit&) = default;

 private:
  QUETZALLINE_VALUE(MemberRecordUnit, member_)

  MemberName member_;
};

/// Builds a MemberRecordUnit; fields that are not set keep their defaults.
class MemberRecordUnit::Builder
    : public ValueBuilder<MemberRecordUnit, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& member(MemberName value) {
    return Set(value_.member_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_MEMBER_RECORD_UNIT_H_
