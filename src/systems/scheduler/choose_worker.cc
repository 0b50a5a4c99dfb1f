#include "systems/scheduler/choose_worker.h"

#include <algorithm>

#include "systems/scheduler/learn_neighbours.h"

namespace quetzalline {
namespace {

// A worker that was not heard for this long gets no new work.
constexpr Duration kFreshReport = std::chrono::milliseconds(900);
// Keeps tasks off a worker that fails them, while there is another.
constexpr double kRestingCost = 20.0;

bool HasLabel(const WorkerFacts& facts, const std::string& label) {
  return std::find(facts.labels().begin(), facts.labels().end(), label) !=
         facts.labels().end();
}

bool Fits(const JobStep& step, const WorkerFacts& facts, const WorkerUse& use,
          const PlacementPolicy& policy) {
  if (use.memory_mb() + step.memory_mb() > facts.memory_mb()) return false;
  if (use.gpu() + step.gpu() > facts.gpu()) return false;
  // What fills takes only what is left over, but takes no room of its own.
  const std::int64_t unused = use.serving_cpu() * policy.unused_percent() / 100;
  const std::int64_t taken =
      step.fills() ? use.cpu() + use.fill_cpu() - unused : use.cpu();
  return taken + step.cpu() <= facts.cpu();
}

// Less is better. Answers two patterns: noisy neighbours, by keeping tasks that
// serve together on few workers and tasks that fill on the others; and data
// that is far away, by the rack.
double Cost(const JobStep& step, const WorkerFacts& facts, const WorkerUse& use,
            const PlacementPolicy& policy, bool quiet, bool other_images) {
  const auto cpu = static_cast<double>(std::max<std::int64_t>(facts.cpu(), 1));
  const auto reserved = static_cast<double>(use.cpu()) / cpu;
  const auto filled = static_cast<double>(use.fill_cpu()) / cpu;
  const auto serving = static_cast<double>(use.serving_cpu()) / cpu;
  const bool near =
      !step.data_rack().empty() && HasLabel(facts, step.data_rack());
  const double far = near ? -policy.data_rack_bonus() : 0.0;
  if (step.fills()) {
    // Quiet tasks leave the workers without neighbours to the others.
    const double neighbour =
        quiet ? -policy.serving_cost() : policy.serving_cost();
    return far + reserved + filled + (serving > 0.0 ? neighbour : 0.0);
  }
  // What serves is packed by image: the fewer images serve on a worker, the
  // more of what fills gets on with all of them.
  if (step.target() > Duration()) {
    return far + filled - serving +
           (other_images ? policy.other_image_cost() : 0.0);
  }
  return far + filled - (serving > 0.0 ? policy.serving_cost() : 0.0) +
         reserved;
}

// Whether tasks of another image serve on the worker.
bool ServesOthers(const MemberName& name, const std::string& image,
                  const SchedulerTables& tables) {
  for (const TaskKey& key : tables.tasks_.OnWorker(name)) {
    const JobStep& step = *tables.tasks_.Find(key)->step();
    if (step.target() > Duration() && step.image() != image) return true;
  }
  return false;
}

// Whether one task that fills is on the worker of which nothing is known yet.
bool HasNewcomer(const MemberName& name, const SchedulerTables& tables) {
  for (const TaskKey& key : tables.tasks_.OnWorker(name)) {
    const JobTask& task = *tables.tasks_.Find(key);
    if (!task.step()->fills()) continue;
    if (ExpectNeighbours(name, *task.step(), tables).unknown_) return true;
  }
  return false;
}

// Whether the tails on the worker leave room for one more task that fills.
// What nothing is known of is tried one task at a time.
bool MayDisturb(const MemberName& name, const NeighbourOutlook& outlook,
                const SchedulerTables& tables) {
  constexpr std::int32_t kFullPace = 100;
  if (tables.workers_.Find(name)->fill_pace() != kFullPace) return false;
  const double highest = tables.policy_.placement().highest_tail_percent();
  if (outlook.tail_ > highest) return false;
  return !outlook.unknown_ || !HasNewcomer(name, tables);
}

bool IsOpen(const MemberName& name, const WorkerRow& worker,
            const SchedulerTables& tables, Instant now) {
  if (!worker.reported() || !worker.facts()) return false;
  if (worker.facts()->draining()) return false;
  if (tables.strays_.count(name) > 0) return false;
  const MemberRow* member = tables.members_.Find(name);
  return member != nullptr && member->connection() &&
         now - member->heard_at() <= kFreshReport &&
         now - worker.granted_at() <= kFreshReport;
}

}  // namespace

std::vector<MemberName> OpenWorkers(const SchedulerTables& tables,
                                    Instant now) {
  std::vector<MemberName> open;
  for (const auto& [name, worker] : tables.workers_) {
    if (IsOpen(name, worker, tables, now)) open.push_back(name);
  }
  return open;
}

bool IsHalfFree(const std::vector<MemberName>& open,
                const SchedulerTables& tables) {
  std::int64_t reserved = 0;
  std::int64_t room = 0;
  for (const MemberName& name : open) {
    reserved += tables.tasks_.UseOf(name).cpu();
    room += tables.workers_.Find(name)->facts()->cpu();
  }
  return 2 * reserved < room;
}

std::optional<MemberName> ChooseWorker(const StepKey& key, const JobStep& step,
                                       const ServiceName& service, bool overdue,
                                       const MemberName& failed_on,
                                       const std::vector<MemberName>& open,
                                       const SchedulerTables& tables) {
  const PlacementPolicy& policy = tables.policy_.placement();
  std::optional<MemberName> best;
  double least = 0.0;
  for (const MemberName& name : open) {
    const WorkerFacts& facts = *tables.workers_.Find(name)->facts();
    if (facts.service() != service) continue;
    const WorkerUse& use = tables.tasks_.UseOf(name);
    if (!Fits(step, facts, use, policy)) continue;
    if (!step.required_label().empty() &&
        !HasLabel(facts, step.required_label())) {
      continue;
    }
    if (step.most_per_worker() > 0 &&
        tables.tasks_.CountOnWorker(key, name) >= step.most_per_worker()) {
      continue;
    }
    bool quiet = false;
    if (step.fills() && use.serving_cpu() > 0) {
      const NeighbourOutlook outlook = ExpectNeighbours(name, step, tables);
      if (!overdue && !MayDisturb(name, outlook, tables)) continue;
      quiet = !outlook.unknown_ && outlook.press_ < policy.quiet_percent();
    }
    const bool other_images =
        step.target() > Duration() && ServesOthers(name, step.image(), tables);
    double cost = Cost(step, facts, use, policy, quiet, other_images);
    if (name == failed_on) cost += kRestingCost;
    if (tables.workers_.Find(name)->rests_until() > tables.last_tick_) {
      // What lasts has to run somewhere; anything else can wait a little.
      if (!step.long_running()) continue;
      cost += kRestingCost;
    }
    if (best && cost >= least) continue;
    best = name;
    least = cost;
  }
  return best;
}

}  // namespace quetzalline
