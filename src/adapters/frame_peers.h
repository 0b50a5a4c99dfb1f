#ifndef QUETZALLINE_ADAPTERS_FRAME_PEERS_H_
#define QUETZALLINE_ADAPTERS_FRAME_PEERS_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "adapters/frame_connection.h"
#include "core/ids.h"

namespace quetzalline {

/// Callbacks for events on the connections of a process to its peers.
struct FrameEvents {
  std::function<void(ConnectionId)> opened_;
  std::function<void(ConnectionId)> closed_;
  /// Handles a payload. The connection is closed if this returns false, which
  /// means that the payload is malformed.
  std::function<bool(ConnectionId, std::string_view)> payload_;
};

/// The open connections of a process to its peers, by connection id.
class FramePeers {
 public:
  explicit FramePeers(FrameEvents events) : events_(std::move(events)) {}

  /// Adds a connected socket. When the connection is closed, after_closed runs
  /// after the closed event; it may be empty.
  ConnectionId Add(boost::asio::ip::tcp::socket socket,
                   std::function<void()> after_closed);
  /// Does nothing if the connection no longer exists.
  void Send(ConnectionId connection, std::string_view payload);
  void Close(ConnectionId connection);
  void CloseAll();
  std::size_t size() const { return connections_.size(); }

 private:
  void HandlePayload(ConnectionId id, std::string_view payload);

  FrameEvents events_;
  std::map<ConnectionId, std::shared_ptr<FrameConnection>> connections_;
  std::uint64_t last_id_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_FRAME_PEERS_H_
