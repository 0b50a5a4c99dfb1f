#include "systems/cell/cell_keys.h"

#include <charconv>

namespace quetzalline {
namespace {

constexpr std::size_t kJobIdDigits = 16;
constexpr int kHexBase = 16;

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

std::string ProgressKey(std::uint64_t job) {
  return std::string(kProgressPrefix) + FormatJobId(job);
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
