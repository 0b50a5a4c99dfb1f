#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_RUNNER_MAJORITY_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_RUNNER_MAJORITY_H_

#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Returns true if a majority of the runners follows this holder, that is,
/// satisfies the predicate on its name and row. Runners follow the highest
/// epoch that they know, so no other holder can have a majority at the same
/// time.
///
/// Members are never removed from the store. Those whose workers the store
/// records as confirmed lost are not counted, since machines that have been
/// replaced would otherwise outnumber the others. A record that the store may
/// or may not contain counts against both sides: each holder then excludes the
/// member from its followers, whether or not it counts it as a member.
template <typename Follows>
bool HasRunnerMajority(const SchedulerTables& tables, Follows&& follows) {
  std::size_t runners = 0;
  std::size_t followers = 0;
  for (const auto& [name, row] : tables.members_) {
    if (row.record().role() != MemberRole::kRunner) continue;
    if (tables.stored_lost_.count(name) > 0) continue;
    ++runners;
    if (tables.confirmed_lost_.count(name) > 0) continue;
    if (follows(name, row)) ++followers;
  }
  return 2 * followers > runners;
}

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_RUNNER_MAJORITY_H_
