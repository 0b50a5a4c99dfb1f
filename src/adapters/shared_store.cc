#include "adapters/shared_store.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace quetzalline {
void SharedStore::RunDelayed(std::function<void()> work) {
  if (faults_.delay() == Duration::zero()) {
    boost::asio::post(io_, std::move(work));
    return;
  }
  auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, faults_.delay());
  timer->async_wait(
      [timer, work = std::move(work)](const boost::system::error_code& error) {
        if (!error) work();
      });
}

void SharedStore::Write(const std::string& key, std::string value,
                        std::int64_t expected, OnWritten on_written,
                        OnFailed on_failed) {
  RunDelayed([this, key, value = std::move(value), expected,
              on_written = std::move(on_written),
              on_failed = std::move(on_failed)]() mutable {
    if (faults_.down()) return on_failed();
    const std::optional<std::int64_t> index =
        store_.Write(key, std::move(value), expected);
    if (index) FireWatches();
    if (faults_.lose_answers()) return on_failed();
    on_written(index);
  });
}

void SharedStore::Read(const std::string& prefix, OnValues on_values,
                       OnFailed on_failed) {
  RunDelayed([this, prefix, on_values = std::move(on_values),
              on_failed = std::move(on_failed)] {
    if (faults_.down()) return on_failed();
    on_values(store_.index(), store_.Read(prefix));
  });
}

void SharedStore::Watch(const std::string& prefix, std::int64_t after,
                        OnValues on_values, OnFailed on_failed) {
  RunDelayed([this, watch = Watcher{prefix, after, std::move(on_values),
                                    std::move(on_failed)}] {
    if (faults_.down()) return watch.on_failed_();
    if (!FireIfChanged(watch)) watches_.push_back(watch);
  });
}

void SharedStore::SetFaults(const StoreFaults& faults) {
  faults_ = faults;
  if (!faults_.down()) return;
  for (const Watcher& watch : std::exchange(watches_, {})) watch.on_failed_();
}

bool SharedStore::FireIfChanged(const Watcher& watch) {
  const std::int64_t highest = store_.IndexOf(watch.prefix_);
  if (highest <= watch.after_) return false;
  watch.on_values_(store_.index(), store_.Read(watch.prefix_));
  return true;
}

void SharedStore::FireWatches() {
  std::vector<Watcher> pending = std::exchange(watches_, {});
  for (const Watcher& watch : pending) {
    if (!FireIfChanged(watch)) watches_.push_back(watch);
  }
}

}  // namespace quetzalline
