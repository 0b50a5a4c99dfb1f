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

/// What happens on the connections of one process to its peers.
struct FrameEvents {
  std::function<void(ConnectionId)> opened_;
  std::function<void(ConnectionId)> closed_;
  /// Says whether the payload was well formed; if not, the connection is lost.
  std::function<bool(ConnectionId, std::string_view)> payload_;
};

/// The open connections of one process to its peers, by number.
class FramePeers {
 public:
  explicit FramePeers(FrameEvents events) : events_(std::move(events)) {}

  /// Takes over a connected socket. The caller's own end-of-connection work
  /// runs after the event.
  ConnectionId Add(boost::asio::ip::tcp::socket socket,
                   std::function<void()> after_closed);
  void Send(ConnectionId connection, std::string_view payload);
  void Close(ConnectionId connection);
  void CloseAll();
  std::size_t size() const { return connections_.size(); }

 private:
  void TakePayload(ConnectionId id, std::string_view payload);

  FrameEvents events_;
  std::map<ConnectionId, std::shared_ptr<FrameConnection>> connections_;
  std::uint64_t last_id_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_FRAME_PEERS_H_
