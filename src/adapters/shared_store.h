#ifndef QUETZALLINE_ADAPTERS_SHARED_STORE_H_
#define QUETZALLINE_ADAPTERS_SHARED_STORE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "standin/memory_store.h"
#include "standin/store_faults.h"

namespace quetzalline {

/// An in-memory store with the interface of a remote service. Calls complete
/// asynchronously on the event loop, watches wait for a change, and faults can
/// be injected.
class SharedStore {
 public:
  /// Called with the new index, or with nothing on a conflict.
  using OnWritten = std::function<void(std::optional<std::int64_t>)>;
  using OnValues =
      std::function<void(std::int64_t index, std::vector<StoredValue>)>;
  using OnFailed = std::function<void()>;

  explicit SharedStore(boost::asio::io_context& io) : io_(io) {}

  /// Writes a key if its index equals the expected one.
  void Write(const std::string& key, std::string value, std::int64_t expected,
             OnWritten on_written, OnFailed on_failed);
  /// Reads all keys with a prefix.
  void Read(const std::string& prefix, OnValues on_values, OnFailed on_failed);
  /// Reads all keys with a prefix once one of them has an index above after.
  void Watch(const std::string& prefix, std::int64_t after, OnValues on_values,
             OnFailed on_failed);

  /// Sets the faults to inject. Pending watches fail if the store goes down.
  void SetFaults(const StoreFaults& faults);
  const MemoryStore& store() const { return store_; }

 private:
  struct Watcher {
    std::string prefix_;
    std::int64_t after_ = 0;
    OnValues on_values_;
    OnFailed on_failed_;
  };

  /// Runs work on the event loop after the delay that the faults specify.
  void RunDelayed(std::function<void()> work);
  bool FireIfChanged(const Watcher& watch);
  void FireWatches();

  boost::asio::io_context& io_;
  MemoryStore store_;
  StoreFaults faults_;
  std::vector<Watcher> watches_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_SHARED_STORE_H_
