#include "systems/scheduler/learn_neighbours.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/conclude_job.h"

namespace quetzalline {
namespace {

// Share of the error that one look corrects; too little is corrected at once,
// too much slowly.
constexpr double kRaiseRate = 1.0;
constexpr double kLowerRate = 0.2;
constexpr double kBaseRate = 0.15;
// How fast what is known of an image outweighs a new look.
constexpr double kTrust = 0.3;
// Keeps the swings of a tail from being blamed on a task that takes little.
constexpr double kTailNoise = 4.0;
// Beyond this a tail says only that it is far too high.
constexpr double kHighestTail = 300.0;
// Tails over this are too high: something beside them is to blame.
constexpr double kTailTooHigh = 100.0;
// An image with this press is taken away where its neighbours suffer.
constexpr double kHeavyPress = 4.0;
constexpr double kMillicores = 1000.0;

using Cores = std::map<std::string, double>;

const ImagePress* FindPress(const std::string& filling,
                            const std::string& serving,
                            const SchedulerTables& tables) {
  return tables.press_.Find(
      ImagePair::Builder().filling(filling).serving(serving).Build());
}

double PressOf(const std::string& filling, const std::string& serving,
               const SchedulerTables& tables) {
  const ImagePress* press = FindPress(filling, serving, tables);
  return press == nullptr ? tables.policy_.placement().unknown_press()
                          : press->percent_per_core();
}

double Predict(double base, const Cores& cores, const std::string& serving,
               const SchedulerTables& tables) {
  double tail = base;
  for (const auto& [image, count] : cores) {
    tail += count * PressOf(image, serving, tables);
  }
  return tail;
}

// Spreads the error over the images that fill: those that less is known of
// take the larger part.
void Correct(double error, const Cores& cores, const std::string& serving,
             SchedulerTables& tables) {
  const double rate = error > 0.0 ? kRaiseRate : kLowerRate;
  double sum = kTailNoise;
  std::map<std::string, double> weights;
  for (const auto& [image, count] : cores) {
    const ImagePress* known = FindPress(image, serving, tables);
    const int samples = known == nullptr ? 0 : known->samples();
    weights[image] = count / (1.0 + kTrust * samples);
    sum += weights[image] * count;
  }
  for (const auto& [image, count] : cores) {
    const ImagePress* known = FindPress(image, serving, tables);
    const double press =
        PressOf(image, serving, tables) + rate * error * weights[image] / sum;
    tables.press_.Put(
        ImagePair::Builder().filling(image).serving(serving).Build(),
        ImagePress::Builder()
            .percent_per_core(std::clamp(press, 0.0, kHighestTail))
            .samples(known == nullptr ? 1 : known->samples() + 1)
            .Build());
  }
}

void LearnTail(const MemberName& name, const ImageTailLatency& seen,
               const Cores& cores, SchedulerTables& tables, Instant now) {
  const TailKey key =
      TailKey::Builder().worker(name).image(seen.image()).Build();
  const ServingTail* known = tables.tails_.Find(key);
  const ServingTail row = known == nullptr ? ServingTail() : *known;
  const double tail = std::min<double>(seen.percent(), kHighestTail);
  double base = row.base();
  if (cores.empty()) {
    base += kBaseRate * (tail - base);
  } else {
    Correct(tail - Predict(base, cores, seen.image(), tables), cores,
            seen.image(), tables);
  }
  tables.tails_.Put(
      key, ServingTail::Builder().latest(tail).base(base).seen_at(now).Build());
}

// Tasks that press on a tail that is too high go elsewhere: here they would
// only stand still.
void TakeAway(const MemberName& name, const std::string& serving,
              SchedulerTables& tables, SchedulerTick& tick) {
  const std::set<TaskKey> tasks = tables.tasks_.OnWorker(name);
  for (const TaskKey& key : tasks) {
    const JobTask* task = tables.tasks_.Find(key);
    if (!task->step()->fills() || task->stopping()) continue;
    const std::string& image = task->step()->image();
    if (PressOf(image, serving, tables) < kHeavyPress) continue;
    StopTask(key, Reason::kLatency, tables, tick);
  }
}

Cores FillingCores(const ImageUse& images) {
  Cores cores;
  for (const auto& [image, millicores] : images.filling_) {
    cores[image] = static_cast<double>(millicores) / kMillicores;
  }
  return cores;
}

}  // namespace

void LearnNeighbours(const MemberName& name, const InterferenceSample& sample,
                     SchedulerTables& tables, SchedulerTick& tick) {
  Cores cores;
  for (const ImageCpuUsage& fill : sample.fills()) {
    cores[fill.image()] = static_cast<double>(fill.millicores()) / kMillicores;
  }
  for (const ImageTailLatency& tail : sample.tails()) {
    LearnTail(name, tail, cores, tables, tick.now());
    if (tail.percent() > kTailTooHigh) {
      TakeAway(name, tail.image(), tables, tick);
    }
  }
}

NeighbourOutlook ExpectNeighbours(const MemberName& name, const JobStep& step,
                                  const SchedulerTables& tables) {
  NeighbourOutlook outlook;
  const ImageUse& images = tables.tasks_.ImagesOn(name);
  const Cores cores = FillingCores(images);
  const double count = static_cast<double>(step.cpu()) / kMillicores;
  for (const auto& [serving, tasks] : images.serving_) {
    const ServingTail* seen = tables.tails_.Find(
        TailKey::Builder().worker(name).image(serving).Build());
    const ServingTail tail = seen == nullptr ? ServingTail() : *seen;
    const double press = count * PressOf(step.image(), serving, tables);
    const double expected =
        std::max(Predict(tail.base(), cores, serving, tables), tail.latest());
    outlook.tail_ = std::max(outlook.tail_, expected + press);
    outlook.press_ = std::max(outlook.press_, press);
    if (FindPress(step.image(), serving, tables) == nullptr) {
      outlook.unknown_ = true;
    }
  }
  return outlook;
}

}  // namespace quetzalline
