#ifndef QUETZALLINE_TABLES_ENTRY_STAGE_H_
#define QUETZALLINE_TABLES_ENTRY_STAGE_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Progress of the entry's shutdown.
class EntryStage {
 public:
  class Builder;

  static constexpr std::string_view kName = "entry-stage";

  /// Returns true once the shutdown has begun.
  bool leaving() const { return leaving_; }
  /// Time up to which callers are still served.
  Instant leave_at() const { return leave_at_; }
  /// Returns true once the entry may exit.
  bool finished() const { return finished_; }

  friend auto operator<=>(const EntryStage&, const EntryStage&) = default;

 private:
  QUETZALLINE_VALUE(EntryStage, leaving_, leave_at_, finished_)

  bool leaving_ = false;
  Instant leave_at_ = Instant{};
  bool finished_ = false;
};

/// Builds an EntryStage; fields that are not set keep their defaults.
class EntryStage::Builder : public ValueBuilder<EntryStage, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& leaving(bool value) { return Set(value_.leaving_, value); }
  Builder& leave_at(Instant value) { return Set(value_.leave_at_, value); }
  Builder& finished(bool value) { return Set(value_.finished_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ENTRY_STAGE_H_
