#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_ESTIMATE_INTERFERENCE_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_ESTIMATE_INTERFERENCE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/job_step.h"
#include "messages/interference_sample.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Reduces interference between tasks on one worker. Learns from each sample
/// how much each best-effort image raises the tail latency of each service
/// image. Evicts best-effort tasks that interfere strongly with a service whose
/// tail latency is above its target, since they would only be throttled there.
void UpdateInterference(const MemberName& name,
                        const InterferenceSample& sample,
                        SchedulerTables& tables, SchedulerTick& tick);

/// Predicted effect of a best-effort task on the services of a worker.
struct InterferenceForecast {
  /// The highest predicted tail latency, in percent of its target.
  double tail_percent_ = 0.0;
  /// The largest increase of one service's tail latency by the task, in percent
  /// of the service's target.
  double added_percent_ = 0.0;
  /// True if the task's image has not been measured beside one of the services.
  bool unmeasured_ = false;
};

/// The estimated interference between images as a matrix, so that the decisions
/// of a placement pass look up the name of each image once.
class InterferenceMatrix {
 public:
  explicit InterferenceMatrix(const SchedulerTables& tables);

  /// Returns the row of a best-effort image; 0 for one without samples.
  std::size_t RowOf(const std::string& best_effort) const;
  /// Returns the column of a service image; 0 for one without samples.
  std::size_t ColumnOf(const std::string& service) const;
  /// Returns the interference of one core of a best-effort image with a service
  /// image, in percent of the service's target. Pairs without samples have the
  /// configured default.
  double PercentPerCore(std::size_t row, std::size_t column) const {
    return CellAt(row, column).percent_per_core_;
  }
  bool IsMeasured(std::size_t row, std::size_t column) const {
    return CellAt(row, column).measured_;
  }

 private:
  struct Cell {
    double percent_per_core_ = 0.0;
    bool measured_ = false;
  };
  const Cell& CellAt(std::size_t row, std::size_t column) const {
    return cells_[row * (columns_.size() + 1) + column];
  }

  std::unordered_map<std::string, std::size_t> rows_;
  std::unordered_map<std::string, std::size_t> columns_;
  std::vector<Cell> cells_;
};

/// The predicted tail latency of a service image on a worker, in percent of its
/// target, as it is without another task.
struct ServiceForecast {
  std::size_t column_ = 0;
  double tail_percent_ = 0.0;
};

/// The services of a worker.
struct WorkerForecast {
  std::vector<ServiceForecast> services_;
  /// True if a best-effort image runs there whose interference with one of the
  /// services has not been measured yet.
  bool unmeasured_ = false;
};

/// Predicts the tail latencies of the services on a worker from what is
/// assigned to it.
WorkerForecast ForecastWorker(const MemberName& name,
                              const InterferenceMatrix& matrix,
                              const SchedulerTables& tables);

/// Predicts the tail latencies of the services on a worker if a task of the
/// best-effort image in this row is added.
InterferenceForecast PredictInterference(const WorkerForecast& worker,
                                         std::size_t row, std::int64_t cpu,
                                         const InterferenceMatrix& matrix);

/// Returns true if the best-effort image has not been measured beside one of
/// the services on the worker.
bool IsUnmeasured(const MemberName& name, const std::string& best_effort,
                  const SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_ESTIMATE_INTERFERENCE_H_
