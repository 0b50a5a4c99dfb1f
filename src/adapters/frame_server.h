#ifndef QUETZALLINE_ADAPTERS_FRAME_SERVER_H_
#define QUETZALLINE_ADAPTERS_FRAME_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "adapters/frame_peers.h"

namespace quetzalline {

/// Accepts the connections of agents at an entry.
class FrameServer {
 public:
  FrameServer(boost::asio::io_context& io, FramePeers& peers)
      : acceptor_(io), peers_(peers) {}

  /// Starts to listen; false where the address cannot be had.
  bool Listen(const boost::asio::ip::tcp::endpoint& address);
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void Stop();

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  FramePeers& peers_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_FRAME_SERVER_H_
