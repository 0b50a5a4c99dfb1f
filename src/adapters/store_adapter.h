#ifndef QUETZALLINE_ADAPTERS_STORE_ADAPTER_H_
#define QUETZALLINE_ADAPTERS_STORE_ADAPTER_H_

#include <utility>
#include <variant>

#include "adapters/consul_store.h"
#include "adapters/local_store.h"

namespace quetzalline {

/// The store of an entry: in the same process or accessed through HTTP.
class StoreAdapter {
 public:
  using OnAnswer = std::function<void(const StoreAnswer&)>;

  explicit StoreAdapter(LocalStore store) : store_(std::move(store)) {}
  explicit StoreAdapter(ConsulStore store) : store_(std::move(store)) {}

  void SetOnAnswer(const OnAnswer& on_answer) {
    std::visit([&](auto& store) { store.SetOnAnswer(on_answer); }, store_);
  }

  template <typename Effect>
  void Perform(const Effect& effect) {
    std::visit([&](auto& store) { store.Perform(effect); }, store_);
  }

 private:
  std::variant<LocalStore, ConsulStore> store_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_STORE_ADAPTER_H_
