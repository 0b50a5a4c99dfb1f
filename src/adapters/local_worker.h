#ifndef QUETZALLINE_ADAPTERS_LOCAL_WORKER_H_
#define QUETZALLINE_ADAPTERS_LOCAL_WORKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "messages/renew_work.h"
#include "messages/start_work.h"
#include "messages/stop_work.h"
#include "messages/worker_task_event.h"
#include "messages/worker_task_found.h"
#include "standin/memory_worker.h"

namespace quetzalline {

/// Executes task effects on an in-memory worker in the same process.
class LocalWorker {
 public:
  using OnNews = std::function<void(const WorkerTaskEvent&)>;
  using OnFound = std::function<void(const WorkerTaskFound&)>;
  using OnListed = std::function<void()>;

  LocalWorker(boost::asio::io_context& io, std::shared_ptr<MemoryWorker> worker)
      : timer_(std::make_unique<boost::asio::steady_timer>(io)),
        worker_(std::move(worker)) {}

  /// Reports the tasks that the worker already runs, then its news as it
  /// arrives. on_listed is called once, after the tasks.
  void Start(const OnFound& on_found, const OnListed& on_listed,
             OnNews on_news);
  void Perform(const StartWork& start);
  void Perform(const RenewWork& renew);
  void Perform(const StopWork& stop);

 private:
  /// Delivers pending news and sets the timer for the next.
  void DeliverNews();

  std::unique_ptr<boost::asio::steady_timer> timer_;
  std::shared_ptr<MemoryWorker> worker_;
  OnNews on_news_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_LOCAL_WORKER_H_
