#ifndef QUETZALLINE_ADAPTERS_PEER_DIALER_H_
#define QUETZALLINE_ADAPTERS_PEER_DIALER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "adapters/frame_peers.h"
#include "core/tick.h"

namespace quetzalline {

/// Maintains the connection to a peer process. Reconnects after a random delay
/// when the peer is unreachable or the connection is lost. A peer that does not
/// accept a connection attempt within the timeout counts as unreachable.
class PeerDialer : public std::enable_shared_from_this<PeerDialer> {
 public:
  using OnConnected = std::function<void(ConnectionId)>;

  PeerDialer(boost::asio::io_context& io, FramePeers& peers,
             const boost::asio::ip::tcp::endpoint& address, std::uint64_t seed,
             OnConnected on_connected);

  void Start() { Connect(); }
  /// Closes the connection and stops reconnecting.
  void Stop();

 private:
  void Connect();
  void ScheduleReconnect();
  void HandleConnected();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  FramePeers& peers_;
  boost::asio::ip::tcp::endpoint address_;
  Random random_;
  OnConnected on_connected_;
  std::optional<ConnectionId> connection_;
  bool stopped_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_PEER_DIALER_H_
