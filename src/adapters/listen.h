#ifndef QUETZALLINE_ADAPTERS_LISTEN_H_
#define QUETZALLINE_ADAPTERS_LISTEN_H_

#include <boost/asio/ip/tcp.hpp>

namespace quetzalline {

/// Opens, binds and listens; false where the address cannot be had, with the
/// cause in the log.
bool ListenOn(boost::asio::ip::tcp::acceptor& acceptor,
              const boost::asio::ip::tcp::endpoint& address);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_LISTEN_H_
