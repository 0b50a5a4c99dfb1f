#include "systems/entry/key_buckets.h"

#include <xxhash.h>

#include <string>

namespace quetzalline {
std::int32_t BucketOf(const CallerRequest& arrival, const EntryPolicy& policy) {
  const std::string text = arrival.caller().value() + "/" + arrival.key();
  const std::uint64_t hash = XXH64(text.data(), text.size(), 0);
  const auto buckets = static_cast<std::uint64_t>(policy.key_buckets());
  return static_cast<std::int32_t>(hash % buckets);
}

}  // namespace quetzalline
