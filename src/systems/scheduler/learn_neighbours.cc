#include "systems/scheduler/learn_neighbours.h"

#include <algorithm>
#include <map>
#include <string>

namespace quetzalline {
namespace {

// Presses of an image that nothing is known of, in percent of the target for
// each core: a task of seven cores is tried where there is room below it.
constexpr double kUnknownPress = 2.0;
// Share of the error that one report corrects.
constexpr double kLearningRate = 0.25;
constexpr double kBaseRate = 0.1;
// Beyond this a tail says only that it is far too high.
constexpr double kHighestTail = 400.0;
// Figures cover the last half second, so that tasks count once they have run
// for as long.
constexpr Duration kSettleTime = std::chrono::milliseconds(600);
constexpr double kMillicores = 1000.0;

double PressOf(const std::string& image, const SchedulerTables& tables) {
  const ImagePress* press = tables.press_.Find(image);
  return press == nullptr ? kUnknownPress : press->percent_per_core();
}

// Cores at work by image, among the tasks that fill.
std::map<std::string, double> FillingCores(const MemberName& name,
                                           std::int32_t pace, Instant before,
                                           const SchedulerTables& tables) {
  std::map<std::string, double> cores;
  for (const TaskKey& key : tables.tasks_.OnWorker(name)) {
    const JobTask& task = *tables.tasks_.Find(key);
    if (!task.step()->fills() || task.assigned_at() > before) continue;
    cores[task.step()->image()] +=
        static_cast<double>(task.step()->cpu()) / kMillicores * pace / 100.0;
  }
  return cores;
}

double Predict(double base, const std::map<std::string, double>& cores,
               const SchedulerTables& tables) {
  double tail = base;
  for (const auto& [image, count] : cores) {
    tail += count * PressOf(image, tables);
  }
  return tail;
}

void Correct(double error, const std::map<std::string, double>& cores,
             SchedulerTables& tables) {
  double square = 1.0;
  for (const auto& [image, count] : cores) square += count * count;
  for (const auto& [image, count] : cores) {
    const ImagePress* known = tables.press_.Find(image);
    const double press =
        PressOf(image, tables) + kLearningRate * error * count / square;
    tables.press_.Put(
        image, ImagePress::Builder()
                   .percent_per_core(std::max(press, 0.0))
                   .samples(known == nullptr ? 1 : known->samples() + 1)
                   .Build());
  }
}

}  // namespace

void LearnNeighbours(const MemberName& name, const WorkerReport& report,
                     Instant now, SchedulerTables& tables) {
  const WorkerRow& worker = *tables.workers_.Find(name);
  const double tail =
      std::min<double>(report.tail_percent(), kHighestTail);
  const auto cores =
      FillingCores(name, report.fill_pace(), now - kSettleTime, tables);
  WorkerRow::Builder builder(worker);
  builder.tail_percent(tail).fill_pace(report.fill_pace());
  if (tail > 0.0) {
    const double error = tail - Predict(worker.tail_base(), cores, tables);
    if (cores.empty()) {
      builder.tail_base(worker.tail_base() + kBaseRate * error);
    } else {
      Correct(error, cores, tables);
    }
  }
  tables.workers_.Put(name, builder.Build());
}

double ExpectedPress(const JobStep& step, const SchedulerTables& tables) {
  return static_cast<double>(step.cpu()) / kMillicores *
         PressOf(step.image(), tables);
}

double ExpectedTail(const MemberName& name, const JobStep& step,
                    const SchedulerTables& tables) {
  const WorkerRow& worker = *tables.workers_.Find(name);
  constexpr std::int32_t kFullPace = 100;
  const auto cores = FillingCores(name, kFullPace, Instant::max(), tables);
  const double expected = Predict(worker.tail_base(), cores, tables);
  return std::max(expected, worker.tail_percent()) +
         ExpectedPress(step, tables);
}

}  // namespace quetzalline
