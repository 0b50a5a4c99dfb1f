#include "adapters/local_worker.h"

#include <algorithm>

#include "adapters/node_loop.h"

namespace quetzalline {
void LocalWorker::Start(const OnFound& on_found, const OnListed& on_listed,
                        OnNews on_news) {
  on_news_ = std::move(on_news);
  for (const auto& [id, task] : worker_->tasks()) {
    on_found(WorkerTaskFound::Builder().task(id).work(task.work()).Build());
  }
  Arm();
  on_listed();
}

void LocalWorker::Perform(const StartWork& start) {
  worker_->Start(start, ReadClock());
  Arm();
}

void LocalWorker::Perform(const RenewWork& renew) {
  worker_->Renew(renew.until());
  Arm();
}

void LocalWorker::Perform(const StopWork& stop) {
  worker_->Stop(stop.task(), ReadClock());
  Arm();
}

void LocalWorker::Arm() {
  for (const WorkerTaskEvent& news : worker_->TakeNews(ReadClock()))
    on_news_(news);
  const std::optional<Instant> next = worker_->NextNews();
  if (!next) return;
  constexpr Duration kShortestPause = std::chrono::milliseconds(1);
  timer_->expires_after(std::max(*next - ReadClock(), kShortestPause));
  timer_->async_wait([this](const boost::system::error_code& error) {
    if (!error) Arm();
  });
}

}  // namespace quetzalline
