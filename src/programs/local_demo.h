#ifndef QUETZALLINE_PROGRAMS_LOCAL_DEMO_H_
#define QUETZALLINE_PROGRAMS_LOCAL_DEMO_H_

#include <iosfwd>

#include "programs/local_system.h"

namespace quetzalline {

/// Lists the requests to send and the jobs to submit for an example.
struct DemoPlan {
  std::string quote_target_;
  std::string reservation_target_;
  std::string batch_task_;
  std::string watcher_task_;
};

/// Returns the plan of a shipped example.
DemoPlan ExamplePlan(const std::string& example);

/// Exercises the embedded system: publishes the example's service files,
/// requests a quote, sends a reservation twice with one idempotency key, runs a
/// batch job and a watcher, fetches a dump and prints the status. Stops at the
/// first step that fails and returns false.
bool RunDemo(const LocalSystem& system, const LocalLayout& layout,
             const std::string& directory, std::ostream& out);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_LOCAL_DEMO_H_
