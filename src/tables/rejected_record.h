#ifndef QUETZALLINE_TABLES_REJECTED_RECORD_H_
#define QUETZALLINE_TABLES_REJECTED_RECORD_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Records that the store has rejected, or that were in a rejected commit. They
/// are committed apart from others, so that they hold up none.
class RejectedRecord {
 public:
  class Builder;

  static constexpr std::string_view kName = "rejected-record";

  /// Records of the same group are committed together. Groups are halved until
  /// the records at fault are alone.
  std::int64_t group() const { return group_; }
  /// Number of times that the store has rejected them alone.
  int rejections() const { return rejections_; }
  /// Earliest time of the next commit of them.
  Instant retry_at() const { return retry_at_; }
  /// True if a commit without them has succeeded since their last rejection, so
  /// that the store rejects them and not everything.
  bool others_stored() const { return others_stored_; }
  /// True if the outcome of an earlier commit that contained them is unknown.
  bool uncertain() const { return uncertain_; }
  /// True if their job had finished at their last rejection.
  bool job_finished() const { return job_finished_; }
  /// The change of the record of a lost worker: true adds it, false removes it.
  std::optional<bool> lost_change() const { return lost_change_; }
  /// The change of the handover record: true writes it, false removes it.
  std::optional<bool> handover_change() const { return handover_change_; }

  friend auto operator<=>(const RejectedRecord&,
                          const RejectedRecord&) = default;

 private:
  QUETZALLINE_VALUE(RejectedRecord, group_, rejections_, retry_at_,
                    others_stored_, uncertain_, job_finished_, lost_change_,
                    handover_change_)

  std::int64_t group_ = 0;
  int rejections_ = 0;
  Instant retry_at_ = Instant{};
  bool others_stored_ = false;
  bool uncertain_ = false;
  bool job_finished_ = false;
  std::optional<bool> lost_change_;
  std::optional<bool> handover_change_;
};

/// Builds a RejectedRecord; fields that are not set keep their defaults.
class RejectedRecord::Builder : public ValueBuilder<RejectedRecord, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& group(std::int64_t value) { return Set(value_.group_, value); }
  Builder& rejections(int value) { return Set(value_.rejections_, value); }
  Builder& retry_at(Instant value) { return Set(value_.retry_at_, value); }
  Builder& others_stored(bool value) {
    return Set(value_.others_stored_, value);
  }
  Builder& uncertain(bool value) { return Set(value_.uncertain_, value); }
  Builder& job_finished(bool value) { return Set(value_.job_finished_, value); }
  Builder& lost_change(std::optional<bool> value) {
    return Set(value_.lost_change_, value);
  }
  Builder& handover_change(std::optional<bool> value) {
    return Set(value_.handover_change_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_REJECTED_RECORD_H_
