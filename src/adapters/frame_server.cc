#include "adapters/frame_server.h"

#include "adapters/listen.h"

namespace quetzalline {
bool FrameServer::Listen(const boost::asio::ip::tcp::endpoint& address) {
  if (!ListenOn(acceptor_, address)) return false;
  Accept();
  return true;
}

void FrameServer::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void FrameServer::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                boost::asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (!error) peers_.Add(std::move(socket), {});
    Accept();
  });
}

}  // namespace quetzalline
