#ifndef QUETZALLINE_SYSTEMS_ENTRY_KEY_BUCKETS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_KEY_BUCKETS_H_

#include <cstdint>

#include "messages/caller_request.h"
#include "tables/entry_policy.h"

namespace quetzalline {

/// The bucket of a request's idempotency key. It depends on the caller and the
/// key alone, so that every entry finds the same one.
std::int32_t BucketOf(const CallerRequest& arrival, const EntryPolicy& policy);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_KEY_BUCKETS_H_
