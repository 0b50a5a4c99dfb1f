#ifndef QUETZALLINE_PROGRAMS_AGENT_PROCESS_H_
#define QUETZALLINE_PROGRAMS_AGENT_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "adapters/endpoint_client.h"
#include "adapters/frame_dialer.h"
#include "adapters/frame_peers.h"
#include "adapters/http_server.h"
#include "adapters/node_loop.h"
#include "adapters/operator_api.h"
#include "adapters/worker_adapter.h"
#include "programs/agent_settings.h"
#include "systems/agent/agent_node.h"

namespace quetzalline {

/// Runs an agent: connects the node, which makes the decisions, to the adapters
/// that carry them out.
class AgentProcess {
 public:
  AgentProcess(boost::asio::io_context& io, const AgentSettings& settings,
               WorkerAdapter worker, std::uint64_t seed);

  /// Opens the operators' listener and starts to connect to the entries.
  /// Returns false if the listener's address cannot be bound.
  bool Start();
  /// Begins a graceful shutdown, which ends with the call of on_finished.
  void Stop();
  void SetOnFinished(std::function<void()> on_finished) {
    on_finished_ = std::move(on_finished);
  }

  std::uint16_t operator_port() const { return operator_server_.port(); }
  const AgentTables& tables() const { return loop_.node().tables(); }

 private:
  FrameEvents MakeFrameEvents();
  OperatorApi::Events MakeOperatorEvents();
  bool ReceiveEntryMessage(ConnectionId connection, std::string_view payload);
  void Perform(const AgentEffect& effect);
  void Finish();

  AgentSettings settings_;
  WorkerAdapter worker_;
  EndpointClient endpoint_;
  FramePeers peers_;
  std::vector<std::unique_ptr<FrameDialer>> dialers_;
  OperatorApi operator_api_;
  HttpServer operator_server_;
  NodeLoop<AgentNode> loop_;
  Counters adapter_counters_;
  std::function<void()> on_finished_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_AGENT_PROCESS_H_
