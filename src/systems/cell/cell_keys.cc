#include "systems/cell/cell_keys.h"

#include <charconv>

namespace quetzalline {
namespace {

constexpr std::size_t kJobIdDigits = 16;
constexpr int kHexBase = 16;
constexpr char kPartSeparator = '/';

}  // namespace

std::string FormatJobId(std::uint64_t job) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(kJobIdDigits, '0');
  for (std::size_t i = kJobIdDigits; i > 0; --i) {
    text[i - 1] = kDigits[job % kHexBase];
    job /= kHexBase;
  }
  return text;
}

std::optional<std::uint64_t> ParseJobId(std::string_view text) {
  if (text.size() != kJobIdDigits) return std::nullopt;
  std::uint64_t job = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] =
      std::from_chars(text.data(), end, job, kHexBase);
  if (error != std::errc() || parsed_end != end) return std::nullopt;
  return job;
}

std::string JobKey(std::uint64_t job) {
  return std::string(kJobPrefix) + FormatJobId(job);
}

std::string ProgressKey(std::uint64_t job, std::size_t part) {
  const std::string first = std::string(kProgressPrefix) + FormatJobId(job);
  return part == 0 ? first : first + kPartSeparator + std::to_string(part);
}

std::optional<ProgressPart> ParseProgressKey(std::string_view key) {
  const std::string_view name = StripPrefix(key, kProgressPrefix);
  const auto job = ParseJobId(name.substr(0, kJobIdDigits));
  if (!job) return std::nullopt;
  const std::string_view rest = name.substr(kJobIdDigits);
  if (rest.empty()) return ProgressPart{*job, 0};
  std::size_t part = 0;
  const char* end = rest.data() + rest.size();
  const auto [parsed_end, error] = std::from_chars(rest.data() + 1, end, part);
  const bool parsed = error == std::errc() && parsed_end == end;
  // Only the form that ProgressKey() returns is valid.
  if (!parsed || part == 0 || ProgressKey(*job, part) != key) {
    return std::nullopt;
  }
  return ProgressPart{*job, part};
}

std::string MemberKey(const MemberName& member) {
  return std::string(kMemberPrefix) + member.value();
}

std::string ConfirmedLostKey(const MemberName& member) {
  return std::string(kConfirmedLostPrefix) + member.value();
}

std::string HandoverKey(const MemberName& member) {
  return std::string(kHandoverPrefix) + member.value();
}

std::string_view StripPrefix(std::string_view key, std::string_view prefix) {
  if (key.substr(0, prefix.size()) != prefix) return {};
  return key.substr(prefix.size());
}

}  // namespace quetzalline
