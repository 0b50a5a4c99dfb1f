#ifndef QUETZALLINE_SYSTEMS_CELL_CELL_KEYS_H_
#define QUETZALLINE_SYSTEMS_CELL_CELL_KEYS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace quetzalline {

/// Names the process that holds the cell; goes with the holder's lease.
inline constexpr std::string_view kHolderKey = "cell/holder";
/// The latest epoch and sequence; guards every commit and is never removed.
inline constexpr std::string_view kEpochKey = "cell/epoch";
inline constexpr std::string_view kJobPrefix = "jobs/";
inline constexpr std::string_view kProgressPrefix = "progress/";
inline constexpr std::string_view kMemberPrefix = "members/";
/// Names the workers on which nothing runs, as long as nothing may start there.
inline constexpr std::string_view kVacantPrefix = "vacant/";
/// The operators' configuration; only they write it.
inline constexpr std::string_view kConfigurationKey = "configuration";

/// The caller's name of a job: 16 hexadecimal digits.
std::string JobText(std::uint64_t job);
/// The job that such a text names; empty where it is none.
std::optional<std::uint64_t> ParseJobText(std::string_view text);

std::string JobKey(std::uint64_t job);
std::string ProgressKey(std::uint64_t job);
std::string MemberKey(const MemberName& member);
std::string VacantKey(const MemberName& member);

/// What follows the prefix in a key; empty where the key begins otherwise.
std::string_view AfterPrefix(std::string_view key, std::string_view prefix);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_CELL_CELL_KEYS_H_
