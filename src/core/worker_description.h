#ifndef QUETZALLINE_CORE_WORKER_DESCRIPTION_H_
#define QUETZALLINE_CORE_WORKER_DESCRIPTION_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// The identity, capacity and state that a worker announces.
class WorkerDescription {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-facts";

  /// Identifier of the worker, which may stay the same across restarts.
  const std::string& worker() const { return worker_; }
  /// Start time in Unix milliseconds; distinguishes the incarnations of the
  /// worker.
  std::int64_t born_ms() const { return born_ms_; }
  const ServiceName& service() const { return service_; }
  const AvailabilityZone& zone() const { return zone_; }
  /// CPU capacity in thousandths of a core.
  std::int64_t cpu() const { return cpu_; }
  /// Memory capacity in MB.
  std::int64_t memory_mb() const { return memory_mb_; }
  /// Number of GPUs.
  std::int64_t gpu() const { return gpu_; }
  /// Labels of the worker, among them its kind and its rack.
  const std::vector<std::string>& labels() const { return labels_; }
  /// True if the worker is leaving and accepts no new work.
  bool draining() const { return draining_; }

  friend auto operator<=>(const WorkerDescription&,
                          const WorkerDescription&) = default;

 private:
  QUETZALLINE_VALUE(WorkerDescription, worker_, born_ms_, service_, zone_, cpu_,
                    memory_mb_, gpu_, labels_, draining_)

  std::string worker_;
  std::int64_t born_ms_ = 0;
  ServiceName service_;
  AvailabilityZone zone_;
  std::int64_t cpu_ = 0;
  std::int64_t memory_mb_ = 0;
  std::int64_t gpu_ = 0;
  std::vector<std::string> labels_;
  bool draining_ = false;
};

/// Builds a WorkerDescription; fields that are not set keep their defaults.
class WorkerDescription::Builder
    : public ValueBuilder<WorkerDescription, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& worker(std::string value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& born_ms(std::int64_t value) { return Set(value_.born_ms_, value); }
  Builder& service(ServiceName value) {
    return Set(value_.service_, std::move(value));
  }
  Builder& zone(AvailabilityZone value) {
    return Set(value_.zone_, std::move(value));
  }
  Builder& cpu(std::int64_t value) { return Set(value_.cpu_, value); }
  Builder& memory_mb(std::int64_t value) {
    return Set(value_.memory_mb_, value);
  }
  Builder& gpu(std::int64_t value) { return Set(value_.gpu_, value); }
  Builder& labels(std::vector<std::string> value) {
    return Set(value_.labels_, std::move(value));
  }
  Builder& draining(bool value) { return Set(value_.draining_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_WORKER_DESCRIPTION_H_
