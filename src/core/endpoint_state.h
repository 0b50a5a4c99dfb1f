#ifndef QUETZALLINE_CORE_ENDPOINT_STATE_H_
#define QUETZALLINE_CORE_ENDPOINT_STATE_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// Whether an endpoint takes new work. A drained endpoint may return; a
/// leaving one does not within its incarnation.
enum class EndpointState : std::uint8_t { kActive, kDrained, kLeaving };

BOOST_DESCRIBE_ENUM(EndpointState, kActive, kDrained, kLeaving)

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_ENDPOINT_STATE_H_
