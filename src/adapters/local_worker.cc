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
  DeliverNews();
  on_listed();
}

void LocalWorker::Perform(const StartWork& start) {
  worker_->Start(start, ReadClock());
  DeliverNews();
}

void LocalWorker::Perform(const RenewWork& renew) {
  worker_->Renew(renew.until());
  DeliverNews();
}

void LocalWorker::Perform(const StopWork& stop) {
  worker_->Stop(stop.task(), ReadClock());
  DeliverNews();
}

void LocalWorker::DeliverNews() {
  for (const WorkerTaskEvent& news : worker_->DrainNews(ReadClock())) {
    on_news_(news);
  }
  const std::optional<Instant> next = worker_->NextNewsTime();
  if (!next) return;
  constexpr Duration kMinTimerDelay = std::chrono::milliseconds(1);
  timer_->expires_after(std::max(*next - ReadClock(), kMinTimerDelay));
  timer_->async_wait([this](const boost::system::error_code& error) {
    if (!error) DeliverNews();
  });
}

}  // namespace quetzalline
