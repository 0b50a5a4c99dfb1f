#ifndef QUETZALLINE_PROGRAMS_LOCAL_SYSTEM_H_
#define QUETZALLINE_PROGRAMS_LOCAL_SYSTEM_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "programs/agent_process.h"
#include "programs/entry_process.h"
#include "programs/example_endpoint.h"
#include "programs/local_layout.h"

namespace quetzalline {

/// Runs a complete system on loopback in one process: an in-memory store,
/// entries, endpoints, agents and workers. They share one dedicated thread.
class LocalSystem {
 public:
  explicit LocalSystem(const LocalLayout& layout);
  ~LocalSystem();

  /// Starts all components and the thread. Returns false if an address cannot
  /// be bound.
  bool Start();

  std::string CallerUrl(std::size_t entry) const;
  std::string OperatorUrl(std::size_t entry) const;
  std::string AgentUrl(std::size_t agent) const;
  std::size_t entries() const { return entries_.size(); }
  std::size_t agents() const { return agents_.size(); }

 private:
  bool StartEntries();
  bool StartInstances();
  bool StartInstance(const LocalInstance& instance, std::size_t index);

  LocalLayout layout_;
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::shared_ptr<SharedStore> store_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
  std::vector<std::unique_ptr<ExampleEndpoint>> endpoints_;
  std::vector<std::unique_ptr<AgentProcess>> agents_;
  std::thread thread_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_LOCAL_SYSTEM_H_
