#ifndef QUETZALLINE_ADAPTERS_SHARED_STORE_H_
#define QUETZALLINE_ADAPTERS_SHARED_STORE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "standin/memory_store.h"
#include "standin/store_faults.h"

namespace quetzalline {

/// The in-memory store as a service within one process: calls are answered
/// later on the loop, watches wait for a change, and faults can be set.
class SharedStore {
 public:
  /// Called with the new index, with empty on a conflict.
  using OnWritten = std::function<void(std::optional<std::int64_t>)>;
  using OnValues =
      std::function<void(std::int64_t index, std::vector<StoredValue>)>;
  using OnFailed = std::function<void()>;

  explicit SharedStore(boost::asio::io_context& io) : io_(io) {}

  void Write(const std::string& key, std::string value, std::int64_t expected,
             OnWritten on_written, OnFailed on_failed);
  void Read(const std::string& prefix, OnValues on_values, OnFailed on_failed);
  void Watch(const std::string& prefix, std::int64_t after, OnValues on_values,
             OnFailed on_failed);

  /// Watches that wait fail when the store goes down.
  void SetFaults(const StoreFaults& faults);
  const MemoryStore& store() const { return store_; }

 private:
  struct Waiting {
    std::string prefix_;
    std::int64_t after_ = 0;
    OnValues on_values_;
    OnFailed on_failed_;
  };

  void Later(std::function<void()> work);
  bool FireIfChanged(const Waiting& watch);
  void FireWatches();

  boost::asio::io_context& io_;
  MemoryStore store_;
  StoreFaults faults_;
  std::vector<Waiting> watches_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_SHARED_STORE_H_
