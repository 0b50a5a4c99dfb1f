#include "adapters/listen.h"

#include <glog/logging.h>

namespace quetzalline {
bool ListenOn(boost::asio::ip::tcp::acceptor& acceptor,
              const boost::asio::ip::tcp::endpoint& address) {
  boost::system::error_code error;
  acceptor.open(address.protocol(), error);
  if (!error) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) acceptor.bind(address, error);
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (!error) return true;
  LOG(ERROR) << "event=listen-failed address=" << address
             << " reason=" << error.message();
  return false;
}

}  // namespace quetzalline
