#ifndef QUETZALLINE_PROGRAMS_LOCAL_TOUR_H_
#define QUETZALLINE_PROGRAMS_LOCAL_TOUR_H_

#include <iosfwd>

#include "programs/local_system.h"

namespace quetzalline {

/// What to show of an example: the requests to send and the jobs to hand in.
struct TourPlan {
  std::string quote_target_;
  std::string reservation_target_;
  std::string batch_task_;
  std::string watcher_task_;
};

/// The plan of a shipped example.
TourPlan ExamplePlan(const std::string& example);

/// Shows the embedded system at work: publishes the example's service files,
/// asks a quote, makes a reservation twice, runs a batch job and a watcher, and
/// prints a dump and a summary. False if any step did not hold.
bool RunTour(const LocalSystem& system, const LocalLayout& layout,
             const std::string& directory, std::ostream& out);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_LOCAL_TOUR_H_
