#include "systems/scheduler/choose_worker.h"

#include <algorithm>

#include "systems/scheduler/learn_neighbours.h"

namespace quetzalline {
namespace {

// A worker that was not heard for this long gets no new work.
constexpr Duration kFreshReport = std::chrono::milliseconds(900);
// Keeps tasks off a worker that fails them, while there is another.
constexpr double kRestingCost = 20.0;
// With this many workers for each image that serves, images are kept apart.
constexpr std::size_t kWorkersForImage = 3;

bool HasLabel(const WorkerDescription& facts, const std::string& label) {
  return std::find(facts.labels().begin(), facts.labels().end(), label) !=
         facts.labels().end();
}

bool Fits(const JobStep& step, const WorkerDescription& facts,
          const WorkerUse& use, const PlacementPolicy& policy) {
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
double Cost(const JobStep& step, const WorkerDescription& facts,
            const WorkerUse& use, const PlacementPolicy& policy, bool quiet,
            double other_image_cost) {
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
    return far + filled - serving + other_image_cost;
  }
  return far + filled - (serving > 0.0 ? policy.serving_cost() : 0.0) +
         reserved;
}

// Whether tasks of another image serve on the worker.
bool ServesOthers(const MemberName& name, const std::string& image,
                  const SchedulerTables& tables) {
  const auto& serving = tables.tasks_.ImagesOn(name).serving_;
  return serving.size() > serving.count(image);
}

// What it costs a task to join tasks of another image that serve.
double OtherImageCost(const SchedulerTables& tables,
                      const PlacementPolicy& policy) {
  const std::size_t images = tables.tasks_.serving_images().size();
  const bool roomy = tables.workers_.size() >= kWorkersForImage * images;
  return roomy ? policy.roomy_image_cost() : policy.other_image_cost();
}

// Whether one image that fills is on the worker of which nothing is known yet
// beside one that serves there.
bool HasNewcomer(const MemberName& name, const SchedulerTables& tables) {
  const ImageUse& images = tables.tasks_.ImagesOn(name);
  for (const auto& [filling, millicores] : images.filling_) {
    for (const auto& [serving, tasks] : images.serving_) {
      const bool known =
          tables.press_.Find(
              ImagePair::Builder().filling(filling).serving(serving).Build()) !=
          nullptr;
      if (!known) return true;
    }
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

// Whether the worker has the step's label and fewer of its tasks than it may.
bool IsSuited(const StepKey& key, const JobStep& step, const MemberName& name,
              const WorkerDescription& facts, const SchedulerTables& tables) {
  if (!step.required_label().empty() &&
      !HasLabel(facts, step.required_label())) {
    return false;
  }
  return step.most_per_worker() == 0 ||
         tables.tasks_.CountOnWorker(key, name) < step.most_per_worker();
}

bool IsOpen(const MemberName& name, const WorkerRow& worker,
            const SchedulerTables& tables, Instant now) {
  if (!worker.reported() || !worker.facts()) return false;
  if (worker.facts()->draining() || worker.silent()) return false;
  if (tables.strays_.count(name) > 0) return false;
  if (tables.vacant_.count(name) > 0) return false;
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

std::optional<WorkerCandidate> ConsiderWorker(
    const StepKey& key, const JobStep& step, const ServiceName& service,
    const MemberName& name, const SchedulerTables& tables, WaitCauses& causes) {
  const PlacementPolicy& policy = tables.policy_.placement();
  const WorkerRow& worker = *tables.workers_.Find(name);
  const WorkerDescription& facts = *worker.facts();
  if (facts.service() != service || !IsSuited(key, step, name, facts, tables)) {
    ++causes.unsuited_;
    return std::nullopt;
  }
  const WorkerUse& use = tables.tasks_.UseOf(name);
  if (!Fits(step, facts, use, policy)) {
    ++causes.no_room_;
    return std::nullopt;
  }
  const bool resting = worker.rests_until() > tables.last_tick_;
  // What lasts has to run somewhere; anything else can wait a little.
  if (resting && !step.long_running()) {
    ++causes.resting_;
    return std::nullopt;
  }
  WorkerCandidate candidate;
  candidate.worker_ = name;
  bool quiet = false;
  if (step.fills() && use.serving_cpu() > 0) {
    const NeighbourOutlook outlook = ExpectNeighbours(name, step, tables);
    candidate.disturbs_ = !MayDisturb(name, outlook, tables);
    quiet = !outlook.unknown_ && outlook.press_ < policy.quiet_percent();
  }
  if (candidate.disturbs_) ++causes.neighbours_;
  const bool other_images =
      step.target() > Duration() && ServesOthers(name, step.image(), tables);
  const double image_cost = other_images ? OtherImageCost(tables, policy) : 0.0;
  const bool kept_clear =
      step.target() > Duration() && worker.clear_until() > tables.last_tick_;
  candidate.cost_ = Cost(step, facts, use, policy, quiet, image_cost) +
                    (resting || kept_clear ? kRestingCost : 0.0);
  return candidate;
}

std::vector<WorkerCandidate> FindCandidates(const StepKey& key,
                                            const JobStep& step,
                                            const ServiceName& service,
                                            const std::vector<MemberName>& open,
                                            const SchedulerTables& tables,
                                            WaitCauses& causes) {
  std::vector<WorkerCandidate> candidates;
  for (const MemberName& name : open) {
    auto candidate = ConsiderWorker(key, step, service, name, tables, causes);
    if (candidate) candidates.push_back(std::move(*candidate));
  }
  return candidates;
}

std::optional<std::size_t> BestCandidate(
    const std::vector<WorkerCandidate>& candidates, bool overdue,
    const MemberName& failed_on) {
  std::optional<std::size_t> best;
  double least = 0.0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const WorkerCandidate& candidate = candidates[i];
    if (candidate.disturbs_ && !overdue) continue;
    const double cost =
        candidate.cost_ + (candidate.worker_ == failed_on ? kRestingCost : 0.0);
    if (best && cost >= least) continue;
    best = i;
    least = cost;
  }
  return best;
}

}  // namespace quetzalline
