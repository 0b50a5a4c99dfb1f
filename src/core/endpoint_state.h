#ifndef QUETZALLINE_CORE_ENDPOINT_STATE_H_
#define QUETZALLINE_CORE_ENDPOINT_STATE_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// States whether an endpoint accepts new work. A drained endpoint may become
/// active again; a leaving one stays leaving until it restarts with a new
/// incarnation.
enum class EndpointState : std::uint8_t { kActive, kDrained, kLeaving };

BOOST_DESCRIBE_ENUM(EndpointState, kActive, kDrained, kLeaving)

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_ENDPOINT_STATE_H_
