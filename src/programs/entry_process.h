#ifndef QUETZALLINE_PROGRAMS_ENTRY_PROCESS_H_
#define QUETZALLINE_PROGRAMS_ENTRY_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "adapters/caller_http.h"
#include "adapters/frame_peers.h"
#include "adapters/frame_server.h"
#include "adapters/http_server.h"
#include "adapters/node_loop.h"
#include "adapters/operator_api.h"
#include "adapters/store_adapter.h"
#include "programs/entry_settings.h"
#include "systems/entry/entry_node.h"

namespace quetzalline {

/// Runs an entry: connects the node, which makes the decisions, to the adapters
/// that carry them out.
class EntryProcess {
 public:
  EntryProcess(boost::asio::io_context& io, const EntrySettings& settings,
               StoreAdapter store, std::uint64_t seed);

  /// Opens the listeners and starts the node. Returns false if an address
  /// cannot be bound.
  bool Start();
  /// Begins a graceful shutdown, which ends with the call of on_finished.
  void Stop();
  void SetOnFinished(std::function<void()> on_finished) {
    on_finished_ = std::move(on_finished);
  }

  std::uint16_t caller_port() const { return caller_server_.port(); }
  std::uint16_t operator_port() const { return operator_server_.port(); }
  std::uint16_t agent_port() const { return frame_server_.port(); }
  const EntryTables& tables() const { return loop_->node().tables(); }

 private:
  bool Listen();
  EntryPolicy PolicyWithOperatorUrl() const;
  FrameEvents MakeFrameEvents();
  CallerHttp::Events MakeCallerEvents();
  OperatorApi::Events MakeOperatorEvents();
  bool ReceiveAgentMessage(ConnectionId connection, std::string_view payload);
  void Perform(const EntryEffect& effect);
  void Finish();
  std::string Metrics() const;

  EntrySettings settings_;
  StoreAdapter store_;
  FramePeers peers_;
  FrameServer frame_server_;
  CallerHttp caller_http_;
  OperatorApi operator_api_;
  HttpServer caller_server_;
  HttpServer operator_server_;
  boost::asio::io_context& io_;
  std::uint64_t seed_;
  std::unique_ptr<NodeLoop<EntryNode>> loop_;
  Counters adapter_counters_;
  std::function<void()> on_finished_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_ENTRY_PROCESS_H_
