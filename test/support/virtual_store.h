#ifndef QUETZALLINE_TEST_SUPPORT_VIRTUAL_STORE_H_
#define QUETZALLINE_TEST_SUPPORT_VIRTUAL_STORE_H_

#include <functional>
#include <utility>
#include <vector>

#include "core/tick.h"
#include "messages/store_answer.h"
#include "messages/store_read.h"
#include "messages/store_watch.h"
#include "messages/store_write.h"
#include "standin/memory_store.h"
#include "support/event_queue.h"

namespace quetzalline {

/// Simulates the platform's store and its faults in virtual time: it can be
/// down or slow, lose responses of writes that took effect, and apply writes
/// late.
class VirtualStore {
 public:
  using OnAnswer = std::function<void(const StoreAnswer&)>;

  VirtualStore(EventQueue& events, std::uint64_t seed)
      : events_(events), random_(seed) {}

  void Perform(const StoreRead& read, const OnAnswer& on_answer);
  void Perform(const StoreWatch& watch, const OnAnswer& on_answer);
  void Perform(const StoreWrite& write, const OnAnswer& on_answer);

  /// Makes all calls fail, pending watches included, or serves calls again.
  void SetDown(bool down);
  /// Sets the one-way latency of calls.
  void SetDelay(Duration delay) { delay_ = delay; }
  /// Sets the percentage of writes whose response is lost. Half of them are
  /// applied up to 20 seconds late.
  void SetLostPercent(int percent) { lost_percent_ = percent; }

  /// Rejects each write of such a record for its content.
  void RejectWrites(std::function<bool(const StoreWrite&)> rejected) {
    rejected_writes_ = std::move(rejected);
  }

  /// Returns the number of calls received.
  std::int64_t calls() const { return calls_; }
  const MemoryStore& store() const { return store_; }

 private:
  struct PendingWatch {
    StoreWatch watch_;
    OnAnswer on_answer_;
  };

  void Answer(std::uint64_t ticket, const StoreResult& result,
              const OnAnswer& on_answer);
  StoreResult ReadItems(const std::string& prefix) const;
  StoreResult Apply(const StoreWrite& write);
  void WriteWithLostResponse(const StoreWrite& write,
                             const OnAnswer& on_answer);
  void NotifyWatches();

  EventQueue& events_;
  Random random_;
  MemoryStore store_;
  std::vector<PendingWatch> watches_;
  Duration delay_ = std::chrono::milliseconds(3);
  std::function<bool(const StoreWrite&)> rejected_writes_;
  bool down_ = false;
  int lost_percent_ = 0;
  std::int64_t calls_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_VIRTUAL_STORE_H_
