#ifndef QUETZALLINE_ADAPTERS_LOCAL_STORE_H_
#define QUETZALLINE_ADAPTERS_LOCAL_STORE_H_

#include <functional>
#include <memory>

#include "adapters/shared_store.h"
#include "messages/store_answer.h"
#include "messages/store_read.h"
#include "messages/store_watch.h"
#include "messages/store_write.h"

namespace quetzalline {

/// Executes store calls on an in-memory store in the same process.
class LocalStore {
 public:
  using OnAnswer = std::function<void(const StoreAnswer&)>;

  explicit LocalStore(std::shared_ptr<SharedStore> store)
      : store_(std::move(store)) {}

  /// Sets the receiver of all results. Call this before the first Perform.
  void SetOnAnswer(OnAnswer on_answer) { on_answer_ = std::move(on_answer); }
  void Perform(const StoreRead& read);
  void Perform(const StoreWatch& watch);
  void Perform(const StoreWrite& write);

 private:
  /// Return callbacks that report the result of the call with this ticket.
  SharedStore::OnValues MakeValuesCallback(std::uint64_t ticket) const;
  SharedStore::OnFailed MakeFailureCallback(std::uint64_t ticket) const;

  std::shared_ptr<SharedStore> store_;
  OnAnswer on_answer_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_LOCAL_STORE_H_
