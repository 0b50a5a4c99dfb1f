#ifndef QUETZALLINE_SYSTEMS_ENTRY_CHOOSE_ENDPOINT_H_
#define QUETZALLINE_SYSTEMS_ENTRY_CHOOSE_ENDPOINT_H_

#include <optional>

#include "core/ids.h"
#include "core/tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// The endpoint at which a request is expected to be answered soonest among a
/// few drawn at random; empty where no endpoint can take it. Another region is
/// chosen only while the link's budget has room for the request, and only where
/// the local region has no endpoint or the expected wait saved exceeds the
/// round trip.
std::optional<EndpointId> ChooseEndpoint(const Request& request,
                                         const EntryTables& tables, Instant now,
                                         Random& random);

/// The expected time from sending an attempt to its answer, the network
/// included.
Duration ExpectedAnswerTime(const Endpoint& row, const EntryPolicy& policy,
                            Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_CHOOSE_ENDPOINT_H_
