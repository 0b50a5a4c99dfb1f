#ifndef QUETZALLINE_SYSTEMS_CELL_CELL_KEYS_H_
#define QUETZALLINE_SYSTEMS_CELL_CELL_KEYS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace quetzalline {

/// Names the holder of the cell's leader lease. The key is removed when that
/// lease ends.
inline constexpr std::string_view kHolderKey = "cell/holder";
/// Holds the latest epoch and sequence. It guards every commit and is never
/// removed.
inline constexpr std::string_view kEpochKey = "cell/epoch";
inline constexpr std::string_view kJobPrefix = "jobs/";
inline constexpr std::string_view kProgressPrefix = "progress/";
/// Number of tasks whose progress is stored under one key. A value then has
/// some 80 KB, a thirteenth of what the store accepts, and the parts of the
/// largest job fit in one commit.
inline constexpr std::size_t kTasksPerProgressPart = 1024;
inline constexpr std::string_view kMemberPrefix = "members/";
/// Prefix of the keys of workers that are confirmed lost: nothing runs on them.
/// A key exists as long as nothing may start on its worker.
inline constexpr std::string_view kConfirmedLostPrefix = "vacant/";
/// Prefix of the keys under which a holder leaves to the next one what may
/// still run on a worker.
inline constexpr std::string_view kHandoverPrefix = "handover/";
/// Holds the operators' configuration; only operators write it.
inline constexpr std::string_view kConfigurationKey = "configuration";

/// Formats a job id as callers see it: 16 lowercase hexadecimal digits.
std::string FormatJobId(std::uint64_t job);
/// Parses 16 hexadecimal digits as a job id; empty for any other text.
std::optional<std::uint64_t> ParseJobId(std::string_view text);

std::string JobKey(std::uint64_t job);
/// Returns the key of one part of a job's progress. Part 0 is the only one of a
/// job of up to kTasksPerProgressPart tasks.
std::string ProgressKey(std::uint64_t job, std::size_t part = 0);
/// Names a part of a job's progress.
struct ProgressPart {
  std::uint64_t job_ = 0;
  std::size_t part_ = 0;

  friend auto operator<=>(const ProgressPart&, const ProgressPart&) = default;
};
/// Parses the key of a part of a job's progress; empty for any other key.
std::optional<ProgressPart> ParseProgressKey(std::string_view key);
std::string MemberKey(const MemberName& member);
std::string ConfirmedLostKey(const MemberName& member);
std::string HandoverKey(const MemberName& member);

/// Returns the rest of a key after its prefix; empty if the key does not begin
/// with the prefix.
std::string_view StripPrefix(std::string_view key, std::string_view prefix);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_CELL_CELL_KEYS_H_
