#include "systems/scheduler/estimate_interference.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/finish_job.h"

namespace quetzalline {
namespace {

// Share of the prediction error that one sample corrects. Interference that was
// underestimated is corrected at once; an overestimate is lowered slowly.
// kBaseRate applies to the tail latency without best-effort tasks.
constexpr double kRaiseRate = 1.0;
constexpr double kLowerRate = 0.2;
constexpr double kBaseRate = 0.15;
// The weight of new samples for a pair of images falls with the number of
// samples times this factor.
constexpr double kSampleDiscount = 0.3;
// Damps the correction, so that fluctuations of a tail latency are not
// attributed to a task that uses little CPU.
constexpr double kNoiseDamping = 4.0;
// Tail latencies are capped at this percentage of their target, since a higher
// one shows only that it is far too high. Interference per core has the same
// limit.
constexpr double kMaxTailPercent = 300.0;
// A tail latency above this percentage of its target is attributed to the
// best-effort tasks beside it: those that interfere strongly are evicted.
constexpr double kTargetPercent = 100.0;
// Best-effort images that raise a tail latency by at least this percentage of
// its target per core are evicted from beside it.
constexpr double kEvictionThreshold = 4.0;
constexpr double kMillicoresPerCore = 1000.0;

// CPU cores in use by best-effort tasks, by image.
using CoresByImage = std::map<std::string, double>;

const ImageInterference* FindInterference(const std::string& best_effort,
                                          const std::string& service,
                                          const SchedulerTables& tables) {
  return tables.interference_.Find(
      ImagePair::Builder().filling(best_effort).serving(service).Build());
}

// Returns the interference of one core of a best-effort image with a service
// image, in percent of the service's target. Pairs without samples get the
// configured default.
double InterferenceOf(const std::string& best_effort,
                      const std::string& service,
                      const SchedulerTables& tables) {
  const ImageInterference* interference =
      FindInterference(best_effort, service, tables);
  return interference == nullptr ? tables.policy_.placement().unknown_press()
                                 : interference->percent_per_core();
}

// Returns the predicted tail latency in percent of the target; `base` is the
// tail latency without best-effort tasks.
double PredictTail(double base, const CoresByImage& cores,
                   const std::string& service, const SchedulerTables& tables) {
  double tail = base;
  for (const auto& [image, count] : cores) {
    tail += count * InterferenceOf(image, service, tables);
  }
  return tail;
}

// Distributes the prediction error over the best-effort images. Images with
// fewer samples receive a larger part.
void CorrectInterference(double error, const CoresByImage& cores,
                         const std::string& service, SchedulerTables& tables) {
  const double rate = error > 0.0 ? kRaiseRate : kLowerRate;
  double sum = kNoiseDamping;
  std::map<std::string, double> weights;
  for (const auto& [image, count] : cores) {
    const ImageInterference* known = FindInterference(image, service, tables);
    const int samples = known == nullptr ? 0 : known->samples();
    weights[image] = count / (1.0 + kSampleDiscount * samples);
    sum += weights[image] * count;
  }
  for (const auto& [image, count] : cores) {
    const ImageInterference* known = FindInterference(image, service, tables);
    const double interference = InterferenceOf(image, service, tables) +
                                rate * error * weights[image] / sum;
    tables.interference_.Put(
        ImagePair::Builder().filling(image).serving(service).Build(),
        ImageInterference::Builder()
            .percent_per_core(std::clamp(interference, 0.0, kMaxTailPercent))
            .samples(known == nullptr ? 1 : known->samples() + 1)
            .Build());
  }
}

void UpdateTail(const MemberName& name, const ImageTailLatency& observed,
                const CoresByImage& cores, SchedulerTables& tables,
                Instant now) {
  const TailKey key =
      TailKey::Builder().worker(name).image(observed.image()).Build();
  const ServingTail* known = tables.tails_.Find(key);
  const ServingTail row = known == nullptr ? ServingTail() : *known;
  const double tail = std::min<double>(observed.percent(), kMaxTailPercent);
  double base = row.base();
  if (cores.empty()) {
    base += kBaseRate * (tail - base);
  } else {
    CorrectInterference(
        tail - PredictTail(base, cores, observed.image(), tables), cores,
        observed.image(), tables);
  }
  tables.tails_.Put(
      key, ServingTail::Builder().latest(tail).base(base).seen_at(now).Build());
}

// Evicts best-effort tasks that interfere strongly with a service whose tail
// latency is above its target. They are placed elsewhere; here they would only
// be throttled.
void EvictInterfering(const MemberName& name, const std::string& service,
                      SchedulerTables& tables, SchedulerTick& tick) {
  const std::set<TaskKey> tasks = tables.tasks_.TasksOnWorker(name);
  for (const TaskKey& key : tasks) {
    const JobTask* task = tables.tasks_.Find(key);
    if (!task->step()->fills() || task->stopping()) continue;
    const std::string& image = task->step()->image();
    if (InterferenceOf(image, service, tables) < kEvictionThreshold) continue;
    StopTask(key, Reason::kLatency, tables, tick);
  }
}

}  // namespace

void UpdateInterference(const MemberName& name,
                        const InterferenceSample& sample,
                        SchedulerTables& tables, SchedulerTick& tick) {
  CoresByImage cores;
  for (const ImageCpuUsage& usage : sample.fills()) {
    cores[usage.image()] =
        static_cast<double>(usage.millicores()) / kMillicoresPerCore;
  }
  for (const ImageTailLatency& tail : sample.tails()) {
    UpdateTail(name, tail, cores, tables, tick.now());
    if (tail.percent() > kTargetPercent) {
      EvictInterfering(name, tail.image(), tables, tick);
    }
  }
}

InterferenceMatrix::InterferenceMatrix(const SchedulerTables& tables) {
  for (const auto& [pair, interference] : tables.interference_) {
    rows_.try_emplace(pair.filling(), rows_.size() + 1);
    columns_.try_emplace(pair.serving(), columns_.size() + 1);
  }
  const Cell unmeasured{tables.policy_.placement().unknown_press(), false};
  cells_.assign((rows_.size() + 1) * (columns_.size() + 1), unmeasured);
  for (const auto& [pair, interference] : tables.interference_) {
    const std::size_t row = rows_[pair.filling()];
    const std::size_t column = columns_[pair.serving()];
    cells_[row * (columns_.size() + 1) + column] = {
        interference.percent_per_core(), true};
  }
}

std::size_t InterferenceMatrix::RowOf(const std::string& best_effort) const {
  const auto found = rows_.find(best_effort);
  return found == rows_.end() ? 0 : found->second;
}

std::size_t InterferenceMatrix::ColumnOf(const std::string& service) const {
  const auto found = columns_.find(service);
  return found == columns_.end() ? 0 : found->second;
}

WorkerForecast ForecastWorker(const MemberName& name,
                              const InterferenceMatrix& matrix,
                              const SchedulerTables& tables) {
  const ImageUse& images = tables.tasks_.ImagesOnWorker(name);
  std::vector<std::pair<std::size_t, double>> cores;
  cores.reserve(images.filling_.size());
  for (const auto& [image, millicores] : images.filling_) {
    cores.emplace_back(matrix.RowOf(image),
                       static_cast<double>(millicores) / kMillicoresPerCore);
  }
  WorkerForecast forecast;
  for (const auto& [service, tasks] : images.serving_) {
    const std::size_t column = matrix.ColumnOf(service);
    const ServingTail* observed = tables.tails_.Find(
        TailKey::Builder().worker(name).image(service).Build());
    const ServingTail tail = observed == nullptr ? ServingTail() : *observed;
    double predicted = tail.base();
    for (const auto& [row, count] : cores) {
      predicted += count * matrix.PercentPerCore(row, column);
      if (!matrix.IsMeasured(row, column)) forecast.unmeasured_ = true;
    }
    forecast.services_.push_back({column, std::max(predicted, tail.latest())});
  }
  return forecast;
}

InterferenceForecast PredictInterference(const WorkerForecast& worker,
                                         std::size_t row, std::int64_t cpu,
                                         const InterferenceMatrix& matrix) {
  InterferenceForecast forecast;
  const double count = static_cast<double>(cpu) / kMillicoresPerCore;
  for (const ServiceForecast& service : worker.services_) {
    const double interference =
        count * matrix.PercentPerCore(row, service.column_);
    forecast.tail_percent_ =
        std::max(forecast.tail_percent_, service.tail_percent_ + interference);
    forecast.added_percent_ = std::max(forecast.added_percent_, interference);
    if (!matrix.IsMeasured(row, service.column_)) forecast.unmeasured_ = true;
  }
  return forecast;
}

bool IsUnmeasured(const MemberName& name, const std::string& best_effort,
                  const SchedulerTables& tables) {
  const auto& services = tables.tasks_.ImagesOnWorker(name).serving_;
  return std::any_of(services.begin(), services.end(), [&](const auto& entry) {
    return FindInterference(best_effort, entry.first, tables) == nullptr;
  });
}

}  // namespace quetzalline
