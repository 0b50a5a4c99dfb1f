#ifndef QUETZALLINE_TABLES_CRASH_ROW_H_
#define QUETZALLINE_TABLES_CRASH_ROW_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/run_key.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A crash of a worker that was reported in this term.
class CrashRow {
 public:
  class Builder;

  static constexpr std::string_view kName = "crash-row";

  /// Time of the loss by the clock of this process.
  Instant lost_at() const { return lost_at_; }
  /// Zone of the worker.
  const AvailabilityZone& zone() const { return zone_; }
  /// Labels of the worker, among them its rack.
  const std::vector<std::string>& labels() const { return labels_; }
  /// Runs that may have caused the crash.
  const std::vector<RunKey>& blamed() const { return blamed_; }

  friend auto operator<=>(const CrashRow&, const CrashRow&) = default;

 private:
  QUETZALLINE_VALUE(CrashRow, lost_at_, zone_, labels_, blamed_)

  Instant lost_at_ = Instant{};
  AvailabilityZone zone_;
  std::vector<std::string> labels_;
  std::vector<RunKey> blamed_;
};

/// Builds a CrashRow; fields that are not set keep their defaults.
class CrashRow::Builder : public ValueBuilder<CrashRow, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& lost_at(Instant value) { return Set(value_.lost_at_, value); }
  Builder& zone(AvailabilityZone value) {
    return Set(value_.zone_, std::move(value));
  }
  Builder& labels(std::vector<std::string> value) {
    return Set(value_.labels_, std::move(value));
  }
  Builder& blamed(std::vector<RunKey> value) {
    return Set(value_.blamed_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_CRASH_ROW_H_
