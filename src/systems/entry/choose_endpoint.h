#ifndef QUETZALLINE_SYSTEMS_ENTRY_CHOOSE_ENDPOINT_H_
#define QUETZALLINE_SYSTEMS_ENTRY_CHOOSE_ENDPOINT_H_

#include <optional>

#include "core/ids.h"
#include "core/tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Returns the endpoint with the shortest expected answer time among a few
/// drawn at random, or nullopt if no endpoint is usable. Another region is
/// chosen only while the byte budget of the inter-region link covers the
/// request, and only if the local region has no usable endpoint or the expected
/// wait saved exceeds the round trip.
std::optional<EndpointId> ChooseEndpoint(const Request& request,
                                         const EntryTables& tables, Instant now,
                                         Random& random);

/// Returns the expected time from sending an attempt to receiving its answer,
/// including the network.
Duration ExpectedAnswerTime(const Endpoint& row, const EntryPolicy& policy,
                            Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_CHOOSE_ENDPOINT_H_
