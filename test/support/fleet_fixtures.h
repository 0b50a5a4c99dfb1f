#ifndef QUETZALLINE_TEST_SUPPORT_FLEET_FIXTURES_H_
#define QUETZALLINE_TEST_SUPPORT_FLEET_FIXTURES_H_

#include <string>

#include "support/virtual_fleet.h"

namespace quetzalline {

/// Returns the service that most tests run: `quotes`, with one route, batch
/// tasks, a watcher task, and a task `huge` that fits on no instance.
ServiceFile QuoteService();
/// Returns a batch task that takes a checkpoint every second.
TaskTemplate BatchTask(const std::string& name, Duration run_time);
/// Returns the policy of an entry in the region and availability zone.
EntryPolicy EntryIn(const std::string& name, const std::string& region,
                    const std::string& zone);
/// Returns the policy of an agent of the service `quotes` in the region and
/// availability zone.
AgentPolicy AgentIn(const std::string& name, const std::string& region,
                    const std::string& zone);

/// Holds a fleet in one availability zone whose agents have joined and apply
/// the service file.
struct SmallFleet {
  SmallFleet(std::uint64_t seed, int entries, int agents,
             const EndpointBehaviour& behaviour = {});
  VirtualFleet fleet_;
};

/// Returns the reason of an outcome, or kNone if the request was done.
Reason ReasonOf(const AttemptOutcome& outcome);

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_FLEET_FIXTURES_H_
