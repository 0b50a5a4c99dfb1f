#include "systems/entry/draw_backoff.h"

#include <algorithm>

#include "core/overloaded.h"

namespace quetzalline {
namespace {

constexpr std::int32_t kMaxShift = 20;

Duration Ceiling(const EntryPolicy& policy, std::int32_t retry) {
  const std::int32_t shift = std::min(retry - 1, kMaxShift);
  return std::min(policy.retry_cap(), policy.retry_base() * (1 << shift));
}

}  // namespace

Duration DrawBackoff(const EntryPolicy& policy, std::int32_t retry,
                     Random& random) {
  const Duration ceiling = Ceiling(policy, retry);
  const Overloaded draw{
      [&](const NoJitter&) { return ceiling; },
      [&](const FullJitter&) {
        return Duration(UniformInt(random, ceiling.count()));
      },
      [&](const HalfJitter&) {
        const Duration fixed = ceiling / 2;
        return fixed + Duration(UniformInt(random, (ceiling - fixed).count()));
      },
  };
  return std::visit(draw, policy.jitter());
}

}  // namespace quetzalline
