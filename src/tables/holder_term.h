#ifndef QUETZALLINE_TABLES_HOLDER_TERM_H_
#define QUETZALLINE_TABLES_HOLDER_TERM_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The holder's term in the store; commits are conditional on it.
class HolderTerm {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-term";

  /// Epoch of the term.
  std::int64_t epoch() const { return epoch_; }
  /// Sequence number of the latest commit attempt.
  std::int64_t sequence() const { return sequence_; }
  /// Store revision of the epoch's key.
  std::int64_t revision() const { return revision_; }
  /// Store lease that the holder's key is bound to.
  std::uint64_t lease() const { return lease_; }
  /// Time of the next lease renewal.
  Instant renew_at() const { return renew_at_; }
  /// Returns true if the holder's key is gone and has to be written again.
  bool restore_holder() const { return restore_holder_; }
  /// Time at which the store last confirmed this epoch.
  Instant confirmed_at() const { return confirmed_at_; }
  /// Returns true once no task has an unknown state and the workers that did
  /// not answer are recorded as lost.
  bool settled() const { return settled_; }
  /// Time at which a majority of the runners first accepted this epoch.
  const std::optional<Instant>& majority_since() const {
    return majority_since_;
  }

  friend auto operator<=>(const HolderTerm&, const HolderTerm&) = default;

 private:
  QUETZALLINE_VALUE(HolderTerm, epoch_, sequence_, revision_, lease_, renew_at_,
                    restore_holder_, confirmed_at_, settled_, majority_since_)

  std::int64_t epoch_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t revision_ = 0;
  std::uint64_t lease_ = 0;
  Instant renew_at_ = Instant{};
  bool restore_holder_ = false;
  Instant confirmed_at_ = Instant{};
  bool settled_ = false;
  std::optional<Instant> majority_since_;
};

/// Builds a HolderTerm; fields that are not set keep their defaults.
class HolderTerm::Builder : public ValueBuilder<HolderTerm, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
  Builder& sequence(std::int64_t value) { return Set(value_.sequence_, value); }
  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
  Builder& lease(std::uint64_t value) { return Set(value_.lease_, value); }
  Builder& renew_at(Instant value) { return Set(value_.renew_at_, value); }
  Builder& restore_holder(bool value) {
    return Set(value_.restore_holder_, value);
  }
  Builder& confirmed_at(Instant value) {
    return Set(value_.confirmed_at_, value);
  }
  Builder& settled(bool value) { return Set(value_.settled_, value); }
  Builder& majority_since(std::optional<Instant> value) {
    return Set(value_.majority_since_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLDER_TERM_H_
