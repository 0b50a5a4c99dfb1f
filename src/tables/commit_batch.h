#ifndef QUETZALLINE_TABLES_COMMIT_BATCH_H_
#define QUETZALLINE_TABLES_COMMIT_BATCH_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"
#include "messages/kvs_put.h"
#include "tables/caller_waiting.h"
#include "tables/unnoted_end.h"

namespace quetzalline {

/// One commit under way, with what becomes true once it is kept. A commit that
/// got no answer is tried again with the same content, so that it does not
/// matter which of the tries the store took.
struct CommitBatch {
  std::vector<KvsPut> puts_;
  std::vector<std::string> removals_;
  std::vector<std::uint64_t> jobs_;
  /// Jobs whose state is told no longer.
  std::vector<std::uint64_t> expired_;
  std::vector<UnnotedEnd> ends_;
  /// Workers that are vacant no longer.
  std::vector<MemberName> occupied_;
  std::vector<CallerWaiting> callers_;
  Instant since_;
  /// Sequence numbers of the tries, any of which the store may have taken.
  std::vector<std::int64_t> sequences_;
  /// Whether a call about it is under way.
  bool in_flight_ = false;
  /// Whether the store has to be asked what became of the last try.
  bool uncertain_ = false;
  Instant next_try_;

  friend auto operator<=>(const CommitBatch&, const CommitBatch&) = default;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_COMMIT_BATCH_H_
