#ifndef QUETZALLINE_ADAPTERS_WORKER_ADAPTER_H_
#define QUETZALLINE_ADAPTERS_WORKER_ADAPTER_H_

#include <utility>
#include <variant>

#include "adapters/http_worker.h"
#include "adapters/local_worker.h"

namespace quetzalline {

/// A worker for an instance that runs no tasks; its agent offers no capacity.
class NullWorker {
 public:
  void Start(const std::function<void(const WorkerTaskFound&)>&,
             const std::function<void()>& on_listed,
             const std::function<void(const WorkerTaskEvent&)>&) {
    on_listed();
  }
  void Perform(const StartWork&) {}
  void Perform(const RenewWork&) {}
  void Perform(const StopWork&) {}
};

/// The worker of an agent: in the same process, accessed through HTTP, or none.
class WorkerAdapter {
 public:
  using OnNews = std::function<void(const WorkerTaskEvent&)>;
  using OnFound = std::function<void(const WorkerTaskFound&)>;
  using OnListed = std::function<void()>;

  explicit WorkerAdapter(NullWorker worker) : worker_(worker) {}
  explicit WorkerAdapter(LocalWorker worker) : worker_(std::move(worker)) {}
  explicit WorkerAdapter(HttpWorker worker) : worker_(std::move(worker)) {}

  void Start(const OnFound& on_found, const OnListed& on_listed,
             const OnNews& on_news) {
    std::visit(
        [&](auto& worker) { worker.Start(on_found, on_listed, on_news); },
        worker_);
  }

  template <typename Effect>
  void Perform(const Effect& effect) {
    std::visit([&](auto& worker) { worker.Perform(effect); }, worker_);
  }

 private:
  std::variant<NullWorker, LocalWorker, HttpWorker> worker_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_WORKER_ADAPTER_H_
