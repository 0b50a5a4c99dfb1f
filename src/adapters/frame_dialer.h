#ifndef QUETZALLINE_ADAPTERS_FRAME_DIALER_H_
#define QUETZALLINE_ADAPTERS_FRAME_DIALER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/frame_peers.h"
#include "core/tick.h"

namespace quetzalline {

/// Maintains the connection of an agent to one entry. Reconnects after a random
/// delay when a connection attempt fails or the connection is lost.
class FrameDialer {
 public:
  FrameDialer(boost::asio::io_context& io, FramePeers& peers,
              const boost::asio::ip::tcp::endpoint& address,
              std::uint64_t seed);

  void Start() { Connect(); }
  /// Stops reconnecting; an open connection stays open.
  void Stop();

 private:
  void Connect();
  void ScheduleReconnect();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  FramePeers& peers_;
  boost::asio::ip::tcp::endpoint address_;
  Random random_;
  bool stopped_ = false;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_FRAME_DIALER_H_
