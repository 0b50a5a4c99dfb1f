#ifndef QUETZALLINE_ADAPTERS_FRAME_SERVER_H_
#define QUETZALLINE_ADAPTERS_FRAME_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "adapters/frame_peers.h"

namespace quetzalline {

/// Accepts connections of peers and adds them to a FramePeers.
class FrameServer {
 public:
  FrameServer(boost::asio::io_context& io, FramePeers& peers)
      : acceptor_(io), peers_(peers) {}

  /// Starts listening. Returns false if the address cannot be bound.
  bool Listen(const boost::asio::ip::tcp::endpoint& address);
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  /// Stops listening; open connections stay open.
  void Stop();

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  FramePeers& peers_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_FRAME_SERVER_H_
