#include "programs/process_identity.h"

#include <chrono>
#include <random>

namespace quetzalline {
namespace {

// Low bits of an incarnation, which distinguish processes that start in the
// same microsecond.
constexpr int kRandomBits = 12;

}  // namespace

std::uint64_t GenerateIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  const std::uint64_t low =
      GenerateSeed() & ((std::uint64_t{1} << kRandomBits) - 1);
  return (static_cast<std::uint64_t>(micros) << kRandomBits) | low;
}

std::uint64_t GenerateSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace quetzalline
