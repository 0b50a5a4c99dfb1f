#ifndef QUETZALLINE_TEST_SUPPORT_FLEET_PARTS_H_
#define QUETZALLINE_TEST_SUPPORT_FLEET_PARTS_H_

#include <string>

#include "support/virtual_fleet.h"

namespace quetzalline {

/// The parts that most tests build their fleets from: one service of quotes,
/// and instances of a small deployment.
ServiceFile QuoteService();
TaskTemplate BatchTask(const std::string& name, Duration run_time);
EntryPolicy EntryIn(const std::string& name, const std::string& region,
                    const std::string& zone);
AgentPolicy AgentIn(const std::string& name, const std::string& region,
                    const std::string& zone);

/// A fleet of one region with one zone that has joined and has the service in
/// force.
struct SmallFleet {
  SmallFleet(std::uint64_t seed, int entries, int agents,
             const EndpointBehaviour& behaviour = {});
  VirtualFleet fleet_;
};

/// The reason of an outcome; none where the request was done.
Reason ReasonOf(const AttemptOutcome& outcome);

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_FLEET_PARTS_H_
