#ifndef QUETZALLINE_SYSTEMS_ENTRY_KEY_BUCKETS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_KEY_BUCKETS_H_

#include <cstdint>

#include "messages/caller_request.h"
#include "tables/entry_policy.h"

namespace quetzalline {

/// Returns the bucket of a request's idempotency key. It depends only on the
/// caller and the key, so that every entry computes the same bucket.
std::int32_t BucketOf(const CallerRequest& arrival, const EntryPolicy& policy);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_KEY_BUCKETS_H_
