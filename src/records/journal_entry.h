#ifndef QUETZALLINE_RECORDS_JOURNAL_ENTRY_H_
#define QUETZALLINE_RECORDS_JOURNAL_ENTRY_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "records/journal_record.h"

namespace quetzalline {

/// One write to the journal of a cell.
class JournalEntry {
 public:
  class Builder;

  static constexpr std::string_view kName = "journal-entry";

  /// Number of the entry; increases by 1 with each entry.
  std::uint64_t sequence() const { return sequence_; }
  /// Fencing token of the holder that wrote the entry.
  std::uint64_t epoch() const { return epoch_; }
  /// Incarnation of the holder that wrote the entry.
  std::uint64_t nonce() const { return nonce_; }
  const std::vector<JournalRecord>& records() const { return records_; }

  friend auto operator<=>(const JournalEntry&, const JournalEntry&) = default;

 private:
  QUETZALLINE_VALUE(JournalEntry, sequence_, epoch_, nonce_, records_)

  std::uint64_t sequence_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t nonce_ = 0;
  std::vector<JournalRecord> records_;
};

/// Builds a JournalEntry; fields that are not set keep their defaults.
class JournalEntry::Builder : public ValueBuilder<JournalEntry, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& sequence(std::uint64_t value) {
    return Set(value_.sequence_, value);
  }
  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
  Builder& nonce(std::uint64_t value) { return Set(value_.nonce_, value); }
  Builder& records(std::vector<JournalRecord> value) {
    return Set(value_.records_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_JOURNAL_ENTRY_H_
